package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatTimeout is how long a server waits for the acknowledgement of a heartbeat.
const heartbeatTimeout = time.Second

// longSuffix ends the paths of the requests that take longWork.
const longSuffix = "/long"

// run is a request that a server has begun to work on.
type run struct {
	at     time.Time
	ended  time.Time
	id     string
	tenant string
	server string
}

// serverConfig configures a server.
type serverConfig struct {
	id, service, addr, zone, control string
	slots                            int
	work                             time.Duration
	longWork                         time.Duration // for paths that end with longSuffix
	// clockAhead is by how much the clock of its machine is ahead as it starts.
	clockAhead time.Duration
	record     *record
}

// server stands in for a backend server.
type server struct {
	cfg  serverConfig
	born int64
	http *http.Server
	done chan struct{}

	mu       sync.Mutex
	state    string
	sequence int
	runs     []run
	inFlight int
	queue    chan struct{}
}

func startServer(cfg serverConfig) (*server, error) {
	l, err := net.Listen("tcp", cfg.addr)
	if err != nil {
		return nil, err
	}
	s := &server{
		cfg: cfg, born: time.Now().Add(cfg.clockAhead).UnixMilli(), state: "ready",
		done: make(chan struct{}), queue: make(chan struct{}, cfg.slots),
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	cfg.record.add("server %s starts at %s, born %d", cfg.id, cfg.addr, s.born)
	return s, nil
}

// beat sends heartbeats until the server ends.
func (s *server) beat(every time.Duration) {
	for {
		s.heartbeat()
		select {
		case <-s.done:
			return
		case <-time.After(every):
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (s *server) heartbeat() bool {
	s.mu.Lock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"Service": s.cfg.service, "Addr": s.cfg.addr, "Zone": s.cfg.zone, "Version": "v1", "Slots": s.cfg.slots,
		"State": s.state, "WarmupLeftMs": 0, "Sequence": s.sequence, "born": s.born,
	})
	state, sequence := s.state, s.sequence
	s.mu.Unlock()
	ok := s.tell(http.MethodPut, body)
	s.cfg.record.add("server %s (born %d): heartbeat %d says %s, acknowledged: %v", s.cfg.id, s.born, sequence, state, ok)
	return ok
}

// leave sends the report that the server is gone.
func (s *server) leave() bool {
	body, _ := json.Marshal(map[string]any{"born": s.born})
	ok := s.tell(http.MethodDelete, body)
	s.cfg.record.add("server %s (born %d): says that it is gone, acknowledged: %v", s.cfg.id, s.born, ok)
	return ok
}

func (s *server) tell(method string, body []byte) bool {
	req, err := http.NewRequest(method, "http://"+s.cfg.control+"/tanagerchute/instances/"+s.cfg.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := (&http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode/100 == 2
}

// drain says that the server leaves, and reports whether that was acknowledged.
func (s *server) drain() bool {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.heartbeat()
}

// crash ends the server at once.
func (s *server) crash() {
	close(s.done)
	_ = s.http.Close()
	s.cfg.record.add("server %s (born %d) ends", s.cfg.id, s.born)
}

// working returns the number of requests that the server works on.
func (s *server) working() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	if state != "ready" {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Mesh-Instance", s.cfg.id)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Mesh-Attempt-Id")
	w.Header().Set("Mesh-Attempt-Id", id)
	if want := r.Header.Get("Mesh-Expect-Instance"); want != "" && want != s.cfg.id {
		w.Header().Set("Mesh-Instance", s.cfg.id)
		w.Header().Set("Mesh-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ms, err := strconv.ParseFloat(r.Header.Get("Mesh-Deadline-Ms"), 64)
	if err != nil {
		ms = 10_000
	}
	deadline := time.After(time.Duration(ms * float64(time.Millisecond)))
	select {
	case s.queue <- struct{}{}:
	case <-deadline:
		w.Header().Set("Mesh-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.queue }()
	n := s.begin(r, id)
	defer s.finish(n)
	w.Header().Set("Mesh-Server-Seal", fmt.Sprintf("%s.%s", s.cfg.id, id))
	select {
	case <-time.After(s.workOf(r)):
		fmt.Fprintf(w, "done %s\n", id)
	case <-deadline:
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
	}
}

// workOf returns how long the server works on a request.
func (s *server) workOf(r *http.Request) time.Duration {
	if strings.HasSuffix(r.URL.Path, longSuffix) {
		return s.cfg.longWork
	}
	return s.cfg.work
}

// begin records that the server begins to work on a request, and returns the number of the run.
func (s *server) begin(r *http.Request, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.runs = append(s.runs, run{at: time.Now(), id: id, tenant: r.Header.Get("Mesh-Tenant"), server: s.cfg.id})
	s.cfg.record.add("server %s (born %d) runs %s %s %s %s", s.cfg.id, s.born, id, r.Method, r.URL.Path, r.Header.Get("Mesh-Tenant"))
	return len(s.runs) - 1
}

// finish records that the server works on a request no longer.
func (s *server) finish(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.runs[n].ended = time.Now()
	s.cfg.record.add("server %s ends its work on %s", s.cfg.id, s.runs[n].id)
}

// allRuns returns what the server has run.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run{}, s.runs...)
}
