package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstreamIdle is how long an upstream keeps an idle connection.
const upstreamIdle = 10 * time.Second

// upstreamConfig configures the upstreams of a deployment.
type upstreamConfig struct {
	slots int
	queue int
	work  time.Duration
}

// upstream is a stand-in for an application upstream.
type upstream struct {
	m    *machine
	cfg  upstreamConfig
	id   string
	addr string
	born int64
	srv  *http.Server
	slot chan struct{}

	mu         sync.Mutex
	sequence   int
	generation int    // of beat
	state      string // ready or draining
	gone       bool   // it has said that it leaves
	ended      bool   // its process has ended
	waiting    int
	holdBeat   time.Duration // delay of the next heartbeat on its way
	onRun      func(id string)
	spoil      func() string
}

func newUpstream(m *machine, id string, cfg upstreamConfig) (*upstream, error) {
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return nil, err
	}
	u := &upstream{m: m, cfg: cfg, id: id, addr: l.Addr().String(), born: time.Now().UnixMilli(), slot: make(chan struct{}, cfg.slots), state: "ready"}
	u.srv = &http.Server{Handler: u, IdleTimeout: upstreamIdle}
	go func() { _ = u.srv.Serve(l) }()
	return u, nil
}

// setSpoil makes the upstream send what f returns in place of an answer, unless it is empty.
func (u *upstream) setSpoil(f func() string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.spoil = f
}

func (u *upstream) spoiled() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.spoil == nil {
		return ""
	}
	return u.spoil()
}

// writeRaw writes bytes to the connection of a request, and closes it.
func writeRaw(w http.ResponseWriter, raw string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, raw)
	_ = c.Close()
}

// setOnRun makes the upstream call f with the id of each request that it runs.
func (u *upstream) setOnRun(f func(id string)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onRun = f
}

// holdNextBeat makes the next heartbeat arrive late, and waits until it is on its way.
func (u *upstream) holdNextBeat(delay time.Duration) {
	u.mu.Lock()
	u.holdBeat = delay
	u.mu.Unlock()
	for {
		u.mu.Lock()
		sent := u.holdBeat == 0
		u.mu.Unlock()
		if sent {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// isLeaving reports whether the upstream has begun to leave.
func (u *upstream) isLeaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gone || u.state != "ready"
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Mesh-Instance", u.id)
		if u.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Mesh-Attempt-Id")
	w.Header().Set("Mesh-Attempt-Id", id)
	if want := r.Header.Get("Mesh-Expect-Instance"); want != "" && want != u.id {
		w.Header().Set("Mesh-Instance", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !u.take(r) {
		w.Header().Set("Mesh-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slot }()
	u.m.d.rec.add("%s: %s runs %s %s %s, %d bytes, caller %s", u.m.name, u.id, id, r.Method, r.URL.RequestURI(), len(body), r.Header.Get("Mesh-Caller"))
	u.mu.Lock()
	onRun := u.onRun
	u.mu.Unlock()
	if onRun != nil {
		onRun(id)
	}
	select {
	case <-time.After(u.cfg.work):
	case <-r.Context().Done():
		u.m.d.rec.add("%s: %s drops %s, its connection was closed", u.m.name, u.id, id)
		return
	}
	if raw := u.spoiled(); raw != "" {
		u.m.d.rec.add("%s: %s spoils its answer to %s", u.m.name, u.id, id)
		writeRaw(w, raw)
		return
	}
	w.Header().Set("Mesh-Server-Seal", "seal-"+id)
	fmt.Fprintf(w, "%s %s by %s\n", r.Method, id, u.id)
}

// take takes a slot, or waits for one in the queue until the deadline.
func (u *upstream) take(r *http.Request) bool {
	select {
	case u.slot <- struct{}{}:
		return true
	default:
	}
	u.mu.Lock()
	full := u.waiting >= u.cfg.queue
	if !full {
		u.waiting++
	}
	u.mu.Unlock()
	if full {
		return false
	}
	defer func() { u.mu.Lock(); u.waiting--; u.mu.Unlock() }()
	left, err := strconv.ParseFloat(r.Header.Get("Mesh-Deadline-Ms"), 64)
	if err != nil {
		left = 10000
	}
	select {
	case u.slot <- struct{}{}:
		return true
	case <-time.After(time.Duration(left * float64(time.Millisecond))):
	case <-r.Context().Done():
	}
	return false
}

// beat sends heartbeats until the upstream leaves.
func (u *upstream) beat() {
	for {
		u.mu.Lock()
		if u.gone || u.ended {
			u.mu.Unlock()
			return
		}
		hold := u.holdBeat
		u.holdBeat = 0
		u.mu.Unlock()
		body, n := u.heartbeat()
		if hold > 0 {
			u.m.d.rec.add("%s: %s sends heartbeat %d (ready), which is held up on its way for %v", u.m.name, u.id, n, hold)
			time.AfterFunc(hold, func() {
				status := u.call(http.MethodPut, body)
				u.m.d.rec.add("%s: heartbeat %d (ready) arrives late, answered %d", u.m.name, n, status)
			})
		} else {
			u.call(http.MethodPut, body)
		}
		time.Sleep(heartbeatInterval)
	}
}

// heartbeat returns the next heartbeat with its number.
func (u *upstream) heartbeat() ([]byte, int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"Service": u.m.service, "Addr": u.addr, "Zone": u.m.zone, "Version": "v1", "Slots": u.cfg.slots,
		"State": u.state, "WarmupLeftMs": 0, "Sequence": u.sequence, "born": u.born,
	})
	return body, u.sequence
}

// leave sends the report that the upstream leaves, and returns the status of the answer, 0
// if there is none within a second.
func (u *upstream) leave() int {
	u.mu.Lock()
	u.gone = true
	u.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": u.born})
	return u.call(http.MethodDelete, body)
}

// end ends the process of the upstream: its connections are reset.
func (u *upstream) end() {
	u.mu.Lock()
	u.ended = true
	srv := u.srv
	u.mu.Unlock()
	_ = srv.Close()
}

// call calls the node's address for upstreams.
func (u *upstream) call(method string, body []byte) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+u.m.control+"/tanagerchute/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
