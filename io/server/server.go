package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tanagerchute/core/jsonc"
	"tanagerchute/io/admin"
	"tanagerchute/io/face"
	"tanagerchute/io/gate"
)

// Config configures a Server.
type Config struct {
	Service string
	Slots   int
	Work    time.Duration // duration of a call
	Egress  string        // egress address of the own node
	Cold    time.Duration // time after the start in which calls take five times as long
	Form    Form          // how it speaks, nil for the product's own dialect
}

// Faults are the faults that can be switched while a Server runs.
type Faults struct {
	Fail        bool           `json:"fail"`         // answer 500 without running
	FailAfter   bool           `json:"fail_after"`   // run, then answer 500
	Shed        bool           `json:"shed"`         // refuse as not run
	Slow        jsonc.Duration `json:"slow"`         // additional time of a call
	Hang        bool           `json:"hang"`         // run and never answer
	DropBefore  bool           `json:"drop_before"`  // cut the connection before running
	DropAfter   bool           `json:"drop_after"`   // run, then cut the connection
	CutAnswer   bool           `json:"cut_answer"`   // run, then cut the answer in the middle
	CrossAnswer bool           `json:"cross_answer"` // run, and answer under another call's id
	ExtraAnswer bool           `json:"extra_answer"` // run, and answer twice
	HugeAnswer  bool           `json:"huge_answer"`  // run, and answer over every bound
	HealthLies  bool           `json:"health_lies"`  // the health endpoint says the opposite
}

// Entry is one run of a call.
type Entry struct {
	Request  string         `json:"request"` // id that the mesh gave it
	Key      string         `json:"key"`     // idempotency key, or the caller's X-Work
	Method   string         `json:"method"`
	Host     string         `json:"host"`
	Path     string         `json:"path"`
	Target   string         `json:"target"`             // path and query, as they came
	Caller   string         `json:"caller,omitempty"`   // service that made the call
	Left     jsonc.Duration `json:"left,omitempty"`     // time until the deadline, at the arrival
	At       time.Time      `json:"at"`                 // arrival
	Done     bool           `json:"done,omitempty"`     // its work came to the end
	Canceled bool           `json:"canceled,omitempty"` // abandoned before it was done
}

const (
	maxEntries    = 1 << 20
	hugeBytes     = 32 << 20
	coldFactor    = 5
	announceEvery = 2 * time.Second
	maxBody       = 4 << 20
)

// Server is the stand-in. It implements http.Handler.
type Server struct {
	cfg     Config
	started time.Time
	mux     *http.ServeMux
	client  *http.Client
	mu      sync.Mutex
	faults  Faults
	ledger  []Entry
	running atomic.Int64
	most    atomic.Int64
}

// New returns a server that has not run anything.
func New(cfg Config) *Server {
	if cfg.Form == nil {
		cfg.Form = ownForm{}
	}
	s := &Server{cfg: cfg, started: time.Now(), mux: http.NewServeMux(), client: &http.Client{}}
	s.mux.HandleFunc("GET /standin/ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Ledger()) })
	s.mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	s.mux.HandleFunc("GET /standin/health", s.health)
	s.mux.HandleFunc("/", s.serve)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Faults returns the faults that are switched on.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults switches faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Ledger returns all that has begun to run, oldest first.
func (s *Server) Ledger() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry{}, s.ledger...)
}

// MostRunning returns the highest number of calls that ran at the same time.
func (s *Server) MostRunning() int { return int(s.most.Load()) }

// record notes a run that begins, and returns its place in the ledger.
func (s *Server) record(e Entry) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ledger) < maxEntries {
		s.ledger = append(s.ledger, e)
		return len(s.ledger) - 1
	}
	return -1
}

// end notes how a run has ended.
func (s *Server) end(at int, how func(*Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at >= 0 {
		how(&s.ledger[at])
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	f := s.Faults()
	if f.Fail != f.HealthLies {
		http.Error(w, "ill", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, "well")
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if _, err := io.ReadAll(io.LimitReader(r.Body, maxBody)); err != nil || f.DropBefore {
		panic(http.ErrAbortHandler)
	}
	switch {
	case f.Fail:
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	case f.Shed:
		s.cfg.Form.Refuse(w)
		return
	}
	s.run(w, r, f)
}

// run does the work of a call and answers it.
func (s *Server) run(w http.ResponseWriter, r *http.Request, f Faults) {
	n := s.running.Add(1)
	defer s.running.Add(-1)
	for m := s.most.Load(); n > m && !s.most.CompareAndSwap(m, n); m = s.most.Load() {
	}
	asked := s.cfg.Form.Read(r.Header)
	e := Entry{
		Request: asked.ID, Key: workKey(r), Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: r.RequestURI,
		Caller: asked.Caller, Left: jsonc.Duration(asked.Left), At: time.Now(),
	}
	at := s.record(e)
	if !s.work(r.Context(), s.duration(r, f)) {
		s.end(at, func(e *Entry) { e.Canceled = true })
		return
	}
	nested, err := s.nested(r)
	s.end(at, func(e *Entry) { e.Done = true })
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.answer(w, r, f, nested)
}

// workKey names the work of a call in the ledger.
func workKey(r *http.Request) string {
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		return k
	}
	return r.Header.Get("X-Work")
}

func (s *Server) duration(r *http.Request, f Faults) time.Duration {
	d := s.cfg.Work
	if given, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		d = given
	}
	if time.Since(s.started) < s.cfg.Cold {
		d *= coldFactor
	}
	return d + f.Slow.Std()
}

// work waits for d and reports whether the call was not abandoned.
func (s *Server) work(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// nested makes the call to another service that the query asks for, and
// returns its answer.
func (s *Server) nested(r *http.Request) (string, error) {
	to := r.URL.Query().Get("call")
	if to == "" {
		return "", nil
	}
	service, path, _ := strings.Cut(to, "/")
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+s.cfg.Egress+"/"+path, nil)
	if err != nil {
		return "", err
	}
	req.Host = service
	for _, h := range []string{"Traceparent", face.HeaderTimeLeft, face.HeaderDepth} {
		if v := r.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	res, err := s.client.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err == nil && res.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("%s answered %d: %s", service, res.StatusCode, body)
	}
	return string(body), err
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, f Faults, nested string) {
	id := s.cfg.Form.Read(r.Header).ID
	s.cfg.Form.Mark(w.Header(), id)
	switch {
	case f.Hang:
		<-r.Context().Done()
		return
	case f.DropAfter:
		panic(http.ErrAbortHandler)
	case f.CrossAnswer:
		s.cfg.Form.Mark(w.Header(), id+"-other")
	case f.CutAnswer:
		w.Header().Set("Content-Length", "1000")
		fmt.Fprint(w, "half of it")
		panic(http.ErrAbortHandler)
	case f.HugeAnswer:
		for range hugeBytes / (1 << 10) {
			fmt.Fprint(w, strings.Repeat("x", 1<<10))
		}
		return
	case f.ExtraAnswer:
		s.answerTwice(w, id)
		return
	case f.FailAfter:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	text := s.cfg.Service + " did " + r.Method + " " + r.URL.Path + " " + workKey(r) + nested
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n <= maxBody {
		text = strings.Repeat("x", n)
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintln(w, text)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the asker has gone if this fails
}

// Announce announces the server, which listens at addr, to its node until ctx
// ends. It repeats itself, since a node that restarts remembers nothing.
func (s *Server) Announce(ctx context.Context, node admin.Client, addr string) {
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	delay := 50 * time.Millisecond
	for {
		err := node.Announce(ctx, gate.Backend{Address: addr, Slots: s.cfg.Slots})
		if err != nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay):
				delay = min(2*delay, announceEvery)
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
