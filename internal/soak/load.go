package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"tanagerchute/internal/procs"
	"tanagerchute/io/native"
	"tanagerchute/io/server"
)

const (
	callersPerNode = 3
	// nodesForEachStaller is the number of nodes for each caller that stops in the middle of
	// its bodies.
	nodesForEachStaller = 3
	homeShare           = 0.8 // of the calls of a caller go to the node beside it
	callTimeout         = answerWithin + 4*time.Second
	// pipelinerStream is the first stream of random numbers of the pipeliners. Those of
	// the callers are below.
	pipelinerStream = 1 << 20
	eagerStream     = 1 << 21 // the same of the eager callers
)

// class is a kind of calls.
type class struct {
	service, method, path string
	keyed                 bool // with an idempotency key
	maxBytes              int  // of the answer, 0 for a short one
}

// classes are the kinds of calls that callers make. Those with POST may run once.
var classes = []class{
	{service: "skraning", method: http.MethodGet, path: "/places"},
	{service: "skraning", method: http.MethodGet, path: "/places", maxBytes: 300 << 10},
	{service: "skraning", method: http.MethodPost, path: "/bookings"},
	{service: "skraning", method: http.MethodPost, path: "/bookings", keyed: true},
	{service: "budir", method: http.MethodGet, path: "/rosters"},
	{service: "budir", method: http.MethodPost, path: "/payments"},
}

// Call is a call as its caller saw it.
type Call struct {
	Class   *class
	Key     string    // by which the ledgers know its work
	Node    int       // index of the node that it was sent to
	First   time.Time // when the caller sent it first, under this key
	Sent    time.Time
	Got     time.Time // when the answer was complete, or the failure known
	Status  int
	Outcome string // not_run, unknown, or empty if a backend server answered
	Cause   string
	Foreign string        // why a successful answer isn't the expected one, empty if it is
	Body    string        // the start of the body in this case
	Idle    time.Duration // for which its connection was idle before
	// AccountKey is the number of the key of a client account that it carried, 0 for none.
	AccountKey uint64
	Pipelined  bool
	Stalled    bool   // its caller stopped in the middle of the body
	AnswerOf   string // key of the other pipelined call whose answer it got, if it did
	// Repeated means that the caller sent the call again, under the same key.
	Repeated bool
	Err      error // there was no complete answer
}

// atMostOnce reports whether the work of the call may run only once.
func (c *Call) atMostOnce() bool { return c.Class.method == http.MethodPost }

// succeeded reports whether the caller got a successful answer.
func (c *Call) succeeded() bool { return c.Err == nil && c.Status == http.StatusOK && c.Outcome == "" }

// lost reports whether the caller can't know what became of the call.
func (c *Call) lost() bool { return c.Err != nil || c.Outcome == "unknown" }

// String describes the call for a report.
func (c *Call) String() string {
	id := c.Key
	if c.Class.keyed {
		id = "under key " + id
	}
	text := fmt.Sprintf("%s %s via node %d, sent %s, took %v: ", c.Class.method, id, c.Node, clock(c.Sent), c.Got.Sub(c.Sent).Round(time.Millisecond))
	if c.AccountKey > 0 {
		text += "with " + accountKey(c.AccountKey) + ": "
	}
	if c.Err != nil {
		return text + c.Err.Error() + fmt.Sprintf(" (connection idle for %v)", c.Idle.Round(time.Millisecond))
	}
	return text + strings.TrimSpace(fmt.Sprint(c.Status, " ", c.Outcome, " ", c.Cause))
}

// load runs the callers.
type load struct {
	fleet   *procs.Fleet
	newest  func() uint64 // version of the configuration that the operator knows of
	mu      sync.Mutex
	calls   []*Call
	refused int // connections, because no process listened
}

// run runs the callers until ctx ends and their last calls have been answered.
func (l *load) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for i := range callersPerNode * len(l.fleet.Instances) {
		wg.Go(func() { l.runCaller(ctx, i%len(l.fleet.Instances), rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	for i := 0; i < len(l.fleet.Instances); i += nodesForEachStaller {
		wg.Go(func() { l.runStaller(ctx, i) })
	}
	for i := range l.fleet.Instances {
		wg.Go(func() { l.runPipeliner(ctx, i, rand.New(rand.NewPCG(seed, uint64(pipelinerStream+i)))) })
		wg.Go(func() { l.runEager(ctx, i, rand.New(rand.NewPCG(seed, uint64(eagerStream+i)))) })
	}
	wg.Wait()
}

// add records calls that have ended.
func (l *load) add(calls ...*Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, calls...)
}

// caller makes calls one after the other. It keeps one connection open to each node.
type caller struct {
	load   *load
	home   int
	rng    *rand.Rand
	client *http.Client
}

func (l *load) runCaller(ctx context.Context, home int, rng *rand.Rand) {
	c := &caller{load: l, home: home, rng: rng, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		cl := &classes[rng.IntN(len(classes))]
		key := uuid.Must(uuid.NewV7()).String()
		target := c.target(cl)
		first := time.Now()
		accountKey := c.accountKey()
		x := c.send(Call{Class: cl, Key: key, First: first, AccountKey: accountKey}, target)
		for x != nil && cl.keyed && !x.succeeded() && x.Status != http.StatusUnauthorized && time.Since(first) < answerWithin {
			x.Repeated = true
			c.pause(100, 400)
			x = c.send(Call{Class: cl, Key: key, First: first, AccountKey: accountKey}, target)
		}
		c.pause(5, 60)
	}
}

func (c *caller) pause(fromMs, toMs int) {
	time.Sleep(time.Duration(fromMs+c.rng.IntN(toMs-fromMs)) * time.Millisecond)
}

// target returns the path and query of a call, with a random duration of its work.
func (c *caller) target(cl *class) string {
	work := 5 + c.rng.IntN(60)
	switch n := c.rng.IntN(100); {
	case n < 4:
		work = 1000 + c.rng.IntN(1500)
	case n < 15:
		work = 200 + c.rng.IntN(600)
	}
	q := url.Values{"work": {fmt.Sprint(work, "ms")}}
	if cl.maxBytes > 0 {
		q.Set("bytes", strconv.Itoa(c.rng.IntN(cl.maxBytes)))
	}
	return cl.path + "?" + q.Encode()
}

// send sends a call to the home node or to a random one. If the connection is refused,
// it tries the next node, as nothing was sent. It returns nil if all are refused.
func (c *caller) send(x Call, target string) *Call {
	nodes := len(c.load.fleet.Instances)
	first := c.home
	if c.rng.Float64() > homeShare {
		first = c.rng.IntN(nodes)
	}
	for i := range nodes {
		x.Node = (first + i) % nodes
		if c.do(&x, target) {
			c.load.add(&x)
			return &x
		}
		c.load.mu.Lock()
		c.load.refused++
		c.load.mu.Unlock()
	}
	return nil
}

// do sends a call to its node. It returns false if the connection is refused.
func (c *caller) do(x *Call, target string) bool {
	trace := httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { x.Idle = info.IdleTime }}
	ctx := httptrace.WithClientTrace(context.Background(), &trace)
	req, err := http.NewRequestWithContext(ctx, x.Class.method, "http://"+c.load.fleet.Instances[x.Node].CallerAddr+target, strings.NewReader("x"))
	if err != nil {
		x.Err = err
		return true
	}
	req.GetBody = nil // net/http must not send the call again
	req.Host = x.Class.service
	if x.Class.keyed {
		req.Header.Set("Idempotency-Key", x.Key)
	} else {
		req.Header.Set("X-Work", x.Key)
	}
	if x.AccountKey > 0 {
		req.Header.Set(native.HeaderCredential, native.CredentialScheme+" "+accountKey(x.AccountKey))
	}
	x.Sent = time.Now()
	defer func() { x.Got = time.Now() }()
	res, err := c.client.Do(req)
	if err != nil {
		x.Err = err
		return !isRefusedConn(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	x.Status, x.Outcome, x.Cause, x.Err = res.StatusCode, res.Header.Get(native.HeaderOutcome), res.Header.Get(native.HeaderCause), err
	x.compare(req.URL.Query().Get("bytes"), string(body))
	return true
}

// isRefusedConn reports whether err says that no process listens.
func isRefusedConn(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// maxKeptBody is the number of bytes that are kept of an unexpected answer.
const maxKeptBody = 100

// compare compares a successful answer with the expected one, which has the number of
// bytes that the call asked for.
func (x *Call) compare(bytes, body string) {
	if !x.succeeded() {
		return
	}
	want := server.Text(x.Class.service, x.Class.method, x.Class.path, x.Key)
	if n, err := strconv.Atoi(bytes); err == nil {
		want = server.Pad(want, n)
	}
	if want+"\n" == body {
		return
	}
	x.Body = body[:min(len(body), maxKeptBody)]
	x.Foreign = fmt.Sprintf("%d bytes instead of %d: %q", len(body), len(want)+1, x.Body)
}

// clock formats a time as the nodes' logs do, to the millisecond.
func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }
