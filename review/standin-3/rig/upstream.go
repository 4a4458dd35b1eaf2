package rig

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	ID      string
	Service string        // that of the machine if it is empty
	Born    time.Time     // its start, by the clock of its machine
	Work    time.Duration // of a request
	Slots   int
	// Handle answers a request in place of the usual answer, if it returns true.
	Handle func(w http.ResponseWriter, r *http.Request, id string, body []byte) bool
}

// Run is a request that an upstream has begun to work on.
type Run struct {
	ID     string
	At     time.Time
	Path   string
	Header http.Header
	Body   []byte
}

// Upstream is a stand-in of an upstream, in one incarnation.
type Upstream struct {
	cfg     UpstreamConfig
	machine *Machine
	server  *http.Server
	ln      net.Listener
	stop    context.CancelFunc

	mu       sync.Mutex
	state    string // ready, draining or gone
	sequence int
	runs     []Run
	conns    map[net.Conn]bool
	acks     map[string]time.Time // first acknowledgement by state
	busy     int
}

// StartUpstream starts the upstream of the machine, which sends heartbeats from now on.
func (m *Machine) StartUpstream(cfg UpstreamConfig) (*Upstream, error) {
	if cfg.Slots == 0 {
		cfg.Slots = 12
	}
	if cfg.Service == "" {
		cfg.Service = m.Service
	}
	if cfg.Born.IsZero() {
		cfg.Born = time.Now()
	}
	ln, err := net.Listen("tcp", m.AppAddr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &Upstream{cfg: cfg, machine: m, ln: ln, stop: cancel, state: "ready", conns: map[net.Conn]bool{}, acks: map[string]time.Time{}}
	u.server = &http.Server{Handler: u, ConnState: u.track, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(ln) }() // returns when the server is closed
	go u.beat(ctx)
	m.rig.cfg.Record.Add("upstream %s of %s starts at %s, born %d", cfg.ID, cfg.Service, m.AppAddr, cfg.Born.UnixMilli())
	return u, nil
}

func (u *Upstream) track(c net.Conn, s http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch s {
	case http.StateNew:
		u.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, c)
	}
}

// Crash ends the upstream at once: its connections are reset, and it says nothing.
func (u *Upstream) Crash() {
	u.machine.rig.cfg.Record.Add("upstream %s crashes", u.cfg.ID)
	u.end()
}

func (u *Upstream) end() {
	u.stop()
	_ = u.ln.Close()
	u.mu.Lock()
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	u.mu.Unlock()
	_ = u.server.Close()
}

// Exit ends the upstream after a planned shutdown.
func (u *Upstream) Exit() {
	u.machine.rig.cfg.Record.Add("upstream %s exits", u.cfg.ID)
	u.end()
}

// beatInterval is the time between two heartbeats.
const beatInterval = 1500 * time.Millisecond

func (u *Upstream) beat(ctx context.Context) {
	for {
		u.Beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

// Beat sends a heartbeat, and reports whether it was acknowledged.
func (u *Upstream) Beat(ctx context.Context) bool {
	u.mu.Lock()
	u.sequence++
	state, seq := u.state, u.sequence
	u.mu.Unlock()
	if state == "gone" {
		return false
	}
	m := u.machine
	body, _ := json.Marshal(map[string]any{
		"Service": u.cfg.Service, "Addr": m.AppAddr, "Zone": m.Zone, "Version": "v1", "Slots": u.cfg.Slots, "State": state,
		"WarmupLeftMs": 0, "Sequence": seq, "born": u.cfg.Born.UnixMilli(),
	}) // only plain values
	return u.tell(ctx, http.MethodPut, body, state)
}

// Drain tells that the upstream is draining, until that is acknowledged.
func (u *Upstream) Drain(ctx context.Context) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	for ctx.Err() == nil && !u.Beat(ctx) {
		time.Sleep(200 * time.Millisecond)
	}
}

// Leave tells that the upstream has left. It goes on to serve until Exit.
func (u *Upstream) Leave(ctx context.Context) {
	u.mu.Lock()
	u.state = "gone"
	u.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": u.cfg.Born.UnixMilli()}) // only plain values
	for ctx.Err() == nil && !u.tell(ctx, http.MethodDelete, body, "gone") {
		time.Sleep(200 * time.Millisecond)
	}
}

func (u *Upstream) tell(ctx context.Context, method string, body []byte, state string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.machine.Control+"/tanagerchute/instances/"+u.cfg.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body) // the answer holds nothing that the stand-in uses
	ok := res.StatusCode/100 == 2
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.acks[state]; ok && !known {
		u.acks[state] = time.Now()
		u.machine.rig.cfg.Record.Add("upstream %s: %s is acknowledged, %s %s", u.cfg.ID, state, method, body)
	}
	return ok
}

// AckedAt returns when a state was first acknowledged, zero if it was not.
func (u *Upstream) AckedAt(state string) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.acks[state]
}

// Runs returns what has run.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Seal returns the seal of an answer with the given body.
func (u *Upstream) Seal(id string, body []byte) string {
	return fmt.Sprintf("%s.%s.%d", u.cfg.ID, id, len(body))
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		u.mu.Lock()
		ready := u.state == "ready"
		u.mu.Unlock()
		w.Header().Set("Mesh-Instance", u.cfg.ID)
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Mesh-Attempt-Id")
	w.Header().Set("Mesh-Attempt-Id", id)
	if want := r.Header.Get("Mesh-Expect-Instance"); want != "" && want != u.cfg.ID {
		w.Header().Set("Mesh-Instance", u.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	full := u.busy >= u.cfg.Slots
	if !full {
		u.busy++
	}
	u.mu.Unlock()
	if full {
		w.Header().Set("Mesh-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		u.mu.Lock()
		u.busy--
		u.mu.Unlock()
	}()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request has not arrived whole
	}
	u.mu.Lock()
	u.runs = append(u.runs, Run{ID: id, At: time.Now(), Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body})
	u.mu.Unlock()
	u.machine.rig.cfg.Record.Add("upstream %s runs %s %s %s", u.cfg.ID, id, r.Method, r.URL.RequestURI())
	if u.cfg.Handle != nil && u.cfg.Handle(w, r, id, body) {
		return
	}
	select {
	case <-time.After(u.cfg.Work):
	case <-r.Context().Done():
		return // most upstreams drop a request when its connection closes
	}
	answer := []byte("answer to " + id + " by " + u.cfg.ID + "\n")
	w.Header().Set("Mesh-Server-Seal", u.Seal(id, answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer) // fails only if the node has disconnected
}

// NewID returns a new attempt id.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
