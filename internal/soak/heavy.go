package main

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"tanagerchute/io/native"
)

const (
	heavyCallers = 200     // of one node; their bodies together are most of its memory
	heavyBytes   = 1 << 20 // of each body, the default limit of a node
	heavyPause   = 50 * time.Millisecond
)

// runHeavy makes bookings with bodies of the largest size allowed, of many callers of one node at
// once, until ctx ends.
func (l *load) runHeavy(ctx context.Context, node int) {
	body := make([]byte, heavyBytes)
	var wg sync.WaitGroup
	for range heavyCallers {
		wg.Go(func() {
			client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				x := Call{Class: &classes[2], Key: uuid.Must(uuid.NewV7()).String(), Node: node, Sent: time.Now()}
				x.First = x.Sent
				if x.sendHeavy(client, l.fleet.Instances[node].CallerAddr, body) {
					l.add(&x)
				}
				sleep(ctx, heavyPause)
			}
		})
	}
	wg.Wait()
}

// sendHeavy sends a call with a body. It returns false if no process listens.
func (x *Call) sendHeavy(client *http.Client, addr string, body []byte) bool {
	req, err := http.NewRequest(x.Class.method, "http://"+addr+x.Class.path, bytes.NewReader(body))
	if err != nil {
		x.Err, x.Got = err, time.Now()
		return true
	}
	req.GetBody = nil // net/http must not send the call again
	req.Host = x.Class.service
	req.Header.Set("X-Work", x.Key)
	res, err := client.Do(req)
	x.Got = time.Now()
	if err != nil {
		x.Err = err
		return !isRefusedConn(err)
	}
	x.Status, x.Outcome, x.Cause = res.StatusCode, res.Header.Get(native.HeaderOutcome), res.Header.Get(native.HeaderCause)
	_ = res.Body.Close()
	return true
}
