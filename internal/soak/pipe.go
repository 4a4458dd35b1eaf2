package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"tanagerchute/io/native"
)

const (
	pipelineDepth = 4 // setting pipeline_depth of the nodes, and requests that callers send at once
	dialTimeout   = 2 * time.Second
	maxEagerBytes = 300 << 10 // of the answers that eager callers ask for
	endsSideEvery = 3         // exchange of an eager caller: it shuts down its sending side
)

// lookups are the classes of calls that are pipelined. Their answers are short.
var lookups = []*class{&classes[0], &classes[4]}

// pipeliner sends a number of lookups at once on a connection, and reads their answers.
type pipeliner struct {
	caller
	conn net.Conn
	in   *bufio.Reader
	used time.Time // when the last answer arrived

	exchanges int // of an eager caller
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

// errAnsweredBefore is the error of a call behind an answer that closed the connection.
var errAnsweredBefore = errors.New("the answer in front of it closed the connection")

// exchange sends calls and returns them with their answers.
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
	for _, x := range calls {
		closed := false
		if err == nil {
			closed, err = p.read(x, "", calls)
		}
		x.Got, x.Err = time.Now(), err
		if closed {
			p.close()
			err = errAnsweredBefore
		}
	}
	p.used = time.Now()
	if err != nil {
		p.close()
	}
	return calls
}

// runEager makes bookings with large answers on a connection to a node until ctx ends. It sends
// each second one before it reads the answer to the first, reads late, and sometimes shuts down
// its sending side before.
func (l *load) runEager(ctx context.Context, node int, rng *rand.Rand) {
	p := &pipeliner{caller: caller{load: l, home: node, rng: rng}}
	defer p.close()
	for ctx.Err() == nil {
		if p.connect() {
			l.add(p.exchangeEagerly()...)
		}
		p.pause(20, 300)
	}
}

// exchangeEagerly sends two bookings, the body of the second in two parts, and returns them with
// their answers.
func (p *pipeliner) exchangeEagerly() []*Call {
	class := &classes[2]
	var calls []*Call
	var sizes []string
	var sendErrs []error
	_ = p.conn.SetDeadline(time.Now().Add(callTimeout)) // a closed connection is noticed below
	for i := range 2 {
		x := &Call{Class: class, Key: uuid.Must(uuid.NewV7()).String(), Node: p.home, Pipelined: true}
		sizes = append(sizes, strconv.Itoa(p.rng.IntN(maxEagerBytes)))
		if i > 0 {
			p.pause(0, 200)
		}
		x.First, x.Idle = time.Now(), time.Since(p.used)
		head := fmt.Sprintf("POST %s&bytes=%s HTTP/1.1\r\nHost: %s\r\nX-Work: %s\r\nContent-Length: 600\r\n\r\n",
			p.target(class), sizes[i], class.service, x.Key)
		_, err := io.WriteString(p.conn, head+strings.Repeat("a", 300))
		if i > 0 {
			p.pause(0, 30)
		}
		if err == nil {
			_, err = io.WriteString(p.conn, strings.Repeat("b", 300))
		}
		x.Sent = time.Now()
		calls, sendErrs = append(calls, x), append(sendErrs, err)
	}
	p.exchanges++
	endsSide := p.exchanges%endsSideEvery == 0
	if endsSide {
		_ = p.conn.(*net.TCPConn).CloseWrite() // a closed connection is noticed below
	}
	_, err := p.in.Peek(1)
	firstByteAt := time.Now() // whether the connection is closed is decided before
	for i, x := range calls {
		closed := false
		p.pause(0, 600)
		err = cmp.Or(err, sendErrs[i])
		if err == nil {
			closed, err = p.read(x, sizes[i], calls)
		}
		x.Got, x.Err = time.Now(), err
		if i > 0 && (errors.Is(err, errAnsweredBefore) || sendErrs[i] != nil) {
			x.Got = firstByteAt
		}
		if closed {
			err = errAnsweredBefore
		}
	}
	p.used = time.Now()
	if err != nil || endsSide {
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

// read reads the answer to x, which has the given number of bytes, if it is not empty, and reports
// whether it closes the connection.
func (p *pipeliner) read(x *Call, bytes string, calls []*Call) (closes bool, err error) {
	res, err := http.ReadResponse(p.in, nil)
	for err == nil && res.StatusCode < http.StatusOK { // informational
		res, err = http.ReadResponse(p.in, nil)
	}
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(res.Body)
	x.Status, x.Outcome, x.Cause = res.StatusCode, res.Header.Get(native.HeaderOutcome), res.Header.Get(native.HeaderCause)
	if err != nil {
		return false, err
	}
	x.compare(bytes, string(body))
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
