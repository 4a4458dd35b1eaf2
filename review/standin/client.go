package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host name of all routes.
const host = "ficu95.example"

// document is a configuration with a route of each kind to the service huvo11a and one to
// wuno96b.
const document = `{"Version":"r7","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"BaseVersion":"r5","Listeners":[{"Host":"ficu95.example","Rules":[{"Name":"r-book","Kind":"non_idempotent","TargetLatencyMs":800,"Priority":1,"Match":{"Prefix":"/book/"},"Action":{"Service":"huvo11a","TimeoutMs":%d,"MaxAttempts":2}},{"Name":"r-look","Kind":"read_only","TargetLatencyMs":600,"Priority":2,"Match":{"Prefix":"/look/"},"Action":{"Service":"huvo11a","TimeoutMs":%d,"MaxAttempts":2}},{"Name":"r-pay","Kind":"non_idempotent","TargetLatencyMs":500,"Priority":2,"Match":{"Prefix":"/pay/"},"Action":{"Service":"wuno96b","TimeoutMs":%d,"MaxAttempts":2}}]}],"Clusters":[{"Name":"huvo11a","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false},{"Name":"wuno96b","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}]}`

func documentWith(timeoutMs int) string {
	return fmt.Sprintf(document, timeoutMs, timeoutMs, timeoutMs)
}

var lastAttempt atomic.Int64

// newAttempt returns a new attempt id, which begins with the index of the client's machine.
func newAttempt(m *machine) string { return fmt.Sprintf("%04x%012x", m.index, lastAttempt.Add(1)) }

// machineOf returns the machine of the client that made an attempt.
func (d *deployment) machineOf(id string) *machine {
	i, err := strconv.ParseInt(id[:min(4, len(id))], 16, 32)
	if err != nil || int(i) >= len(d.machines) {
		return nil
	}
	return d.machines[i]
}

// answer is what a client got.
type answer struct {
	id     string
	path   string
	status int // 0 if the connection was closed
	seal   string
	err    error
}

// isFinal reports whether the answer says what became of the attempt.
func (a answer) isFinal() bool {
	return a.status != 0 && a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout
}

// request is one attempt of a client.
type request struct {
	m        *machine // of the client
	client   *http.Client
	method   string
	path     string
	deadline time.Duration
	body     io.Reader
	length   int64
}

// newClient returns a client that keeps its connection.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true}}
}

// send makes an attempt and records it.
func (r request) send(rec *recorder) answer {
	a := answer{id: newAttempt(r.m), path: r.path}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	if r.body == nil {
		r.body = http.NoBody
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.m.outbound+r.path, r.body)
	if err != nil {
		a.err = err
		return a
	}
	req.ContentLength = r.length
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Mesh-Attempt-Id", a.id)
	req.Header.Set("Mesh-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	rec.add("client at %s sends %s %s %s, %d bytes", r.m.name, a.id, r.method, r.path, r.length)
	res, err := r.client.Do(req)
	if err != nil {
		a.err = err
		rec.add("client at %s: %s got no answer: %v", r.m.name, a.id, strings.TrimSpace(err.Error()))
		return a
	}
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	a.status, a.seal, a.err = res.StatusCode, res.Header.Get("Mesh-Server-Seal"), err
	rec.add("client at %s: %s answered %d, seal %q, complete %v", r.m.name, a.id, a.status, a.seal, err == nil)
	return a
}

// load is the load of clients that send small bookings one after the other.
type load struct {
	interval time.Duration // all clients send at its multiples, 0 if they send one after the other
	stop     chan struct{}
	wg       sync.WaitGroup

	mu       sync.Mutex
	answered map[string]answer
}

// retryPause is the pause of a client after an answer that is not a success.
const retryPause = 200 * time.Millisecond

// startLoad starts clients at each machine of the deployment, each with a connection that it
// keeps.
func startLoad(d *deployment, clientsPerMachine int, interval time.Duration) *load {
	l := &load{interval: interval, stop: make(chan struct{}), answered: map[string]answer{}}
	for _, m := range d.machines {
		for range clientsPerMachine {
			l.wg.Go(func() { l.run(d.rec, m) })
		}
	}
	return l
}

func (l *load) run(rec *recorder, m *machine) {
	c := newClient()
	defer c.CloseIdleConnections()
	for {
		select {
		case <-l.stop:
			return
		case <-l.next():
		}
		r := request{m: m, client: c, method: http.MethodPost, path: fmt.Sprintf("/book/%d", lastBooking.Add(1)), deadline: 3 * time.Second}
		a := l.send(rec, r)
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			time.Sleep(retryPause)
			r.client = newClient() // a retry is made on a new connection
			a = l.send(rec, r)
			r.client.CloseIdleConnections()
		}
		if a.status != http.StatusOK {
			time.Sleep(retryPause)
		}
	}
}

// next returns a channel that receives a value when a client may send.
func (l *load) next() <-chan time.Time {
	if l.interval == 0 {
		return time.After(0)
	}
	return time.After(time.Until(time.Now().Truncate(l.interval).Add(l.interval)))
}

// lastBooking is the number of the last booking. All attempts to make it have the same path.
var lastBooking atomic.Int64

func (l *load) send(rec *recorder, r request) answer {
	a := r.send(rec)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered[a.id] = a
	return a
}

// end ends the load and returns the answers by attempt id.
func (l *load) end() map[string]answer {
	close(l.stop)
	l.wg.Wait()
	return l.answered
}
