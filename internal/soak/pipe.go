package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"tanagerchute/io/native"
)

const (
	pipelineDepth = 4 // setting pipeline_depth of the nodes, and requests that callers send at once
	dialTimeout   = 2 * time.Second
)

// lookups are the classes of calls that are pipelined. Their answers are short.
var lookups = []*class{&classes[0], &classes[4]}

// pipeliner sends a number of lookups at once on a connection, and reads their answers.
type pipeliner struct {
	caller
	conn net.Conn
	in   *bufio.Reader
	used time.Time // when the last answer arrived
}

// runPipeliner makes pipelined calls to a node until ctx ends.
func (l *load) runPipeliner(ctx context.Context, node int, rng *rand.Rand) {
	p := &pipeliner{caller: caller{load: l, home: node, rng: rng}}
	defer p.close()
	for ctx.Err() == nil {
		if p.connect() {
			l.add(p.exchange()...)
		}
		p.pause(20, 200)
	}
}

// connect opens a connection if there is none.
func (p *pipeliner) connect() bool {
	if p.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", p.load.fleet.Instances[p.home].CallerAddr, dialTimeout)
	if err != nil {
		p.load.mu.Lock()
		defer p.load.mu.Unlock()
		p.load.refused++
		return false
	}
	p.conn, p.in, p.used = conn, bufio.NewReader(conn), time.Now()
	return true
}

func (p *pipeliner) close() {
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

// exchange sends calls and returns them with their answers. Those behind an answer that
// closes the connection have none by the rules of HTTP, and are left out.
func (p *pipeliner) exchange() []*Call {
	var requests bytes.Buffer
	var calls []*Call
	for range pipelineDepth {
		calls = append(calls, p.write(&requests))
	}
	now := time.Now()
	for _, x := range calls {
		x.First, x.Sent, x.Idle = now, now, now.Sub(p.used)
	}
	err := p.conn.SetDeadline(now.Add(callTimeout))
	if err == nil {
		_, err = p.conn.Write(requests.Bytes())
	}
	for i, x := range calls {
		closed := false
		if err == nil {
			closed, err = p.read(x, calls)
		}
		x.Got, x.Err = time.Now(), err
		if closed {
			p.close()
			return calls[:i+1]
		}
	}
	p.used = time.Now()
	if err != nil {
		p.close()
	}
	return calls
}

// write writes the request of a new call.
func (p *pipeliner) write(w *bytes.Buffer) *Call {
	x := &Call{
		Class: lookups[p.rng.IntN(len(lookups))], Key: uuid.Must(uuid.NewV7()).String(), Node: p.home,
		AccountKey: p.accountKey(), Pipelined: true,
	}
	w.WriteString("GET " + p.target(x.Class) + " HTTP/1.1\r\nHost: " + x.Class.service + "\r\nX-Work: " + x.Key + "\r\n")
	if x.AccountKey > 0 {
		w.WriteString(native.HeaderCredential + ": " + native.CredentialScheme + " " + accountKey(x.AccountKey) + "\r\n")
	}
	w.WriteString("\r\n")
	return x
}

// read reads the answer to x, and reports whether it closes the connection.
func (p *pipeliner) read(x *Call, calls []*Call) (closes bool, err error) {
	res, err := http.ReadResponse(p.in, nil)
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(res.Body)
	x.Status, x.Outcome, x.Cause = res.StatusCode, res.Header.Get(native.HeaderOutcome), res.Header.Get(native.HeaderCause)
	if err != nil {
		return false, err
	}
	x.compare("", string(body))
	for _, other := range calls {
		if other != x && strings.Contains(string(body), other.Key) {
			x.AnswerOf = other.Key
		}
	}
	return res.Close, nil
}

// ranAtOnce counts the pipelined calls that ran while another one of the same connection
// did.
func (e *Evidence) ranAtOnce() int {
	n := 0
	for i, x := range e.Calls[min(1, len(e.Calls)):] {
		before := e.Calls[i]
		if !x.Pipelined || !before.Pipelined || x.Node != before.Node || !x.Sent.Equal(before.Sent) {
			continue
		}
		if slices.ContainsFunc(e.Runs[x.Key], func(r Run) bool {
			return slices.ContainsFunc(e.Runs[before.Key], func(b Run) bool { return r.At.Before(b.endOr(b.At)) && b.At.Before(r.endOr(r.At)) })
		}) {
			n++
		}
	}
	return n
}
