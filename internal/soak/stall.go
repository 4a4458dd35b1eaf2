package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"tanagerchute/io/native"
)

// runStaller makes calls whose bodies stop arriving, one after the other, until ctx ends. Each
// has to be answered, and must not run.
func (l *load) runStaller(ctx context.Context, node int) {
	class := &classes[2] // a booking, without a key
	for ctx.Err() == nil {
		x := Call{Class: class, Key: uuid.Must(uuid.NewV7()).String(), Node: node, Stalled: true, Sent: time.Now()}
		x.First = x.Sent
		c, err := net.DialTimeout("tcp", l.fleet.Instances[node].CallerAddr, time.Second)
		if err != nil { // no process listens
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		x.stall(c)
		_ = c.Close()
		x.Got = time.Now()
		l.add(&x)
	}
}

// stall sends half of a call on c and reads the answer.
func (x *Call) stall(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	_, x.Err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Work: %s\r\nContent-Length: 100\r\n\r\nhalf", x.Class.method, x.Class.path, x.Class.service, x.Key)
	if x.Err != nil {
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		x.Err = err
		return
	}
	x.Status, x.Outcome, x.Cause = res.StatusCode, res.Header.Get(native.HeaderOutcome), res.Header.Get(native.HeaderCause)
	_ = res.Body.Close()
}
