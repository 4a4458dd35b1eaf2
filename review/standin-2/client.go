package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id     string
	node   string
	sentAt time.Time
	status int // 0 if the connection ended without an answer
	seal   string
	err    error
}

// client stands in for the clients of one machine.
type client struct {
	addr, node string // of the node that it calls
	http       *http.Client
	record     *record

	mu      sync.Mutex
	answers []answer
}

func newClient(node, addr string, r *record) *client {
	return &client{addr: addr, node: node, record: r, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
}

// request is what a client sends.
type request struct {
	method, host, path, key string
	deadline                time.Duration
}

// send makes one attempt and returns its answer.
func (c *client) send(q request) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), node: c.node, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.addr+q.path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = q.host
	req.Header.Set("Mesh-Attempt-Id", a.id)
	req.Header.Set("Mesh-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		req.Header.Set("Authorization", "Token "+q.key)
	}
	res, err := c.http.Do(req)
	if err == nil {
		a.status, a.seal = res.StatusCode, res.Header.Get("Mesh-Server-Seal")
		_, a.err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	} else {
		a.err = err
	}
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	c.record.add("client at %s: %s %s %s, sent %.3f: status %d seal %q %v", c.node, a.id, q.method, q.path, a.sentAt.Sub(c.record.start).Seconds(), a.status, a.seal, a.err)
	return a
}

// sendEvery sends a request each interval until the context ends, whatever became of those before.
func (c *client) sendEvery(ctx context.Context, interval time.Duration, q request) {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			wg.Go(func() { c.send(q) })
		}
	}
}

// all returns the answers so far.
func (c *client) all() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer{}, c.answers...)
}
