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
	"tanagerchute/io/gate"
	"tanagerchute/io/native"
)

// Config configures a Server.
type Config struct {
	Service  string
	Slots    int           // number of concurrent calls that it announces
	Work     time.Duration // default duration of a call
	Egress   string        // egress address of the server's node
	WarmUp   time.Duration // time after the start in which calls take several times as long
	Protocol Protocol      // headers, nil for the Tanager headers
	// LedgerOut, if it is set, gets each entry of the ledger as a line of JSON when
	// the call begins, and again when its work is completed or canceled.
	LedgerOut io.Writer
	// OnCrash ends the server. It is called when a call begins to run that Faults.Crash
	// describes.
	OnCrash func()
}

// CrashingCall describes the calls that end a server when it begins to run them.
type CrashingCall struct {
	Path string `json:"path"` // without the query, empty for none
	Body string `json:"body"`
}

// matches reports whether r with the given body is such a call.
func (c CrashingCall) matches(r *http.Request, body []byte) bool {
	return c.Path != "" && c.Path == r.URL.Path && c.Body == string(body)
}

// Faults selects the faults to inject. They can be changed while a Server runs.
type Faults struct {
	Fail          bool           `json:"fail"`         // respond with 500 without running the call
	FailAfter     bool           `json:"fail_after"`   // run, then respond with 500
	Shed          bool           `json:"shed"`         // reject calls as not run
	Slow          jsonc.Duration `json:"slow"`         // additional duration of a call
	Hang          bool           `json:"hang"`         // run and never respond
	DropBefore    bool           `json:"drop_before"`  // close the connection before running
	DropAfter     bool           `json:"drop_after"`   // run, then close the connection
	CutAnswer     bool           `json:"cut_answer"`   // run, then close the connection in the middle of the response
	WrongAnswerID bool           `json:"cross_answer"` // run, then respond with the ID of another call
	ExtraAnswer   bool           `json:"extra_answer"` // run, then send two responses
	HugeAnswer    bool           `json:"huge_answer"`  // run, then send a response that exceeds every size limit
	InvertHealth  bool           `json:"health_lies"`  // report the opposite of the health
	RateLimit     string         `json:"rate_limit"`   // name this limit in each answer, none if empty
	// Endless makes it run, and then send bytes until the connection is closed.
	Endless Endless `json:"endless"`
	// LateCopy makes it respond to each call after the first of a connection with a
	// copy of the response before, followed by the response to the call.
	LateCopy bool `json:"late_copy"`
	// Cut makes it run, and then end the response at this place.
	Cut Cut `json:"cut"`
	// Raw makes it run, and then send these bytes in place of a response and close the
	// connection. {id} stands for the id of the call.
	Raw string `json:"raw,omitempty"`
	// Leave makes it tell its node that it leaves, and announce itself no more. It
	// still runs the calls that it gets.
	Leave bool `json:"leave"`
	// Crash makes it end when it begins to run such a call.
	Crash CrashingCall `json:"crash"`
}

// Entry records one execution of a call.
type Entry struct {
	Request  string         `json:"request"` // request ID that the mesh assigned
	Key      string         `json:"key"`     // idempotency key, or the X-Work header if there is none
	Method   string         `json:"method"`
	Host     string         `json:"host"`
	Path     string         `json:"path"`
	Target   string         `json:"target"`             // path and query, as received
	Header   http.Header    `json:"header,omitempty"`   // as received, only where the ledger is written to a file
	Caller   string         `json:"caller,omitempty"`   // service that made the call
	TimeLeft jsonc.Duration `json:"left,omitempty"`     // time until the deadline, at arrival
	At       time.Time      `json:"at"`                 // time of arrival
	Done     bool           `json:"done,omitempty"`     // the work was completed
	Canceled bool           `json:"canceled,omitempty"` // the request was canceled before the work was completed
	End      time.Time      `json:"end,omitzero"`       // when it was completed or canceled
}

const (
	maxLedgerEntries = 1 << 20 // calls after these are not recorded
	hugeAnswerBytes  = 32 << 20
	warmUpFactor     = 5 // on the duration of a call during the warm-up
	announceInterval = 2 * time.Second
	maxBodyBytes     = 4 << 20
)

// Server is a stand-in backend server. It implements http.Handler.
type Server struct {
	cfg        Config
	started    time.Time
	mux        *http.ServeMux
	client     *http.Client
	mu         sync.Mutex
	faults     Faults
	ledger     []Entry
	endless    atomic.Int64 // bytes sent for Faults.Endless
	running    atomic.Int64
	maxRunning atomic.Int64
}

// New returns a server with an empty ledger.
func New(cfg Config) *Server {
	if cfg.Protocol == nil {
		cfg.Protocol = tanagerProtocol{}
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

// Faults returns the faults that are injected now.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults to inject.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Ledger returns an entry for each call that has begun to run, oldest first.
func (s *Server) Ledger() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry{}, s.ledger...)
}

// MaxRunning returns the highest number of calls that ran at the same time.
func (s *Server) MaxRunning() int { return int(s.maxRunning.Load()) }

// newEntry returns the entry of a call that arrives now, under a request ID.
func (s *Server) newEntry(r *http.Request, id string) Entry {
	e := Entry{Request: id, Key: workKey(r), Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: r.RequestURI, At: time.Now()}
	if s.cfg.LedgerOut != nil {
		e.Header = r.Header
	}
	return e
}

// record appends an entry to the ledger and returns its index, or -1 if the
// ledger is full.
func (s *Server) record(e Entry) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ledger) < maxLedgerEntries {
		s.ledger = append(s.ledger, e)
		s.writeEntry(e)
		return len(s.ledger) - 1
	}
	return -1
}

// update changes the entry at index with f. It does nothing if index is
// negative.
func (s *Server) update(index int, f func(*Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index >= 0 {
		f(&s.ledger[index])
		s.writeEntry(s.ledger[index])
	}
}

// writeEntry writes an entry to Config.LedgerOut. A process that could not write its
// ledger would hide runs, so it panics. The caller holds mu.
func (s *Server) writeEntry(e Entry) {
	if s.cfg.LedgerOut == nil {
		return
	}
	data, err := json.Marshal(e)
	if err == nil {
		_, err = s.cfg.LedgerOut.Write(append(data, '\n'))
	}
	if err != nil {
		panic(fmt.Sprintf("write ledger: %v", err))
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
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
	if f.Fail != f.InvertHealth {
		http.Error(w, "ill", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, "well")
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if f.RateLimit != "" {
		w.Header().Set(native.HeaderRateLimit, f.RateLimit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || f.DropBefore {
		panic(http.ErrAbortHandler)
	}
	if f.Crash.matches(r, body) && s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
		panic(http.ErrAbortHandler)
	}
	switch {
	case f.Fail:
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	case f.Shed:
		s.cfg.Protocol.WriteNotRun(w)
		return
	}
	s.run(w, r, f)
}

// run simulates the work of a call and writes the response.
func (s *Server) run(w http.ResponseWriter, r *http.Request, f Faults) {
	n := s.running.Add(1)
	defer s.running.Add(-1)
	for m := s.maxRunning.Load(); n > m && !s.maxRunning.CompareAndSwap(m, n); m = s.maxRunning.Load() {
	}
	info := s.cfg.Protocol.ReadRequest(r.Header)
	e := s.newEntry(r, info.ID)
	e.Caller, e.TimeLeft = info.Caller, jsonc.Duration(info.TimeLeft)
	index := s.record(e)
	if !s.work(r.Context(), s.workDuration(r, f)) {
		s.update(index, func(e *Entry) { e.Canceled, e.End = true, time.Now() })
		return
	}
	nested, err := s.callNested(r)
	s.update(index, func(e *Entry) { e.Done, e.End = true, time.Now() })
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.writeAnswer(w, r, f, nested)
}

// workKey returns the key that identifies the work of a call in the ledger.
func workKey(r *http.Request) string {
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		return k
	}
	return r.Header.Get("X-Work")
}

func (s *Server) workDuration(r *http.Request, f Faults) time.Duration {
	d := s.cfg.Work
	if requested, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		d = requested
	}
	if time.Since(s.started) < s.cfg.WarmUp {
		d *= warmUpFactor
	}
	return d + f.Slow.Std()
}

// work waits for d. It returns false if ctx ends first.
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

// callNested makes the call to another service that the query of r asks for,
// and returns the response body. It returns "" if the query asks for none.
func (s *Server) callNested(r *http.Request) (string, error) {
	target := r.URL.Query().Get("call")
	if target == "" {
		return "", nil
	}
	service, path, _ := strings.Cut(target, "/")
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+s.cfg.Egress+"/"+path, nil)
	if err != nil {
		return "", err
	}
	req.Host = service
	for _, h := range []string{"Traceparent", native.HeaderTimeLeft, native.HeaderDepth} {
		if v := r.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	res, err := s.client.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err == nil && res.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("service %q answered %d: %s", service, res.StatusCode, body)
	}
	return string(body), err
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, f Faults, nested string) {
	id := s.cfg.Protocol.ReadRequest(r.Header).ID
	s.cfg.Protocol.SetRequestID(w.Header(), id)
	switch {
	case f.Endless != "":
		s.writeEndless(w, id, f.Endless)
		return
	case f.Cut != "":
		s.writeCut(w, id, f.Cut)
		return
	case f.LateCopy:
		s.writeLateCopies(w, id)
		return
	case f.Raw != "":
		conn, _ := hijack(w)
		_, _ = conn.Write([]byte(strings.ReplaceAll(f.Raw, "{id}", id))) // a failed write is a fault as well
		_ = conn.Close()
		return
	case f.Hang:
		<-r.Context().Done()
		return
	case f.DropAfter:
		panic(http.ErrAbortHandler)
	case f.WrongAnswerID:
		s.cfg.Protocol.SetRequestID(w.Header(), id+"-other")
	case f.CutAnswer:
		w.Header().Set("Content-Length", "1000")
		fmt.Fprint(w, "half of it")
		panic(http.ErrAbortHandler)
	case f.HugeAnswer:
		for range hugeAnswerBytes / (1 << 10) {
			fmt.Fprint(w, strings.Repeat("x", 1<<10))
		}
		return
	case f.ExtraAnswer:
		s.writeTwoAnswers(w, id)
		return
	case f.FailAfter:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	text := Text(s.cfg.Service, r.Method, r.URL.Path, workKey(r)) + nested
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n <= maxBodyBytes {
		text = Pad(text, n)
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintln(w, text)
}

// Text returns the first line of the response to a call, without the response to a
// nested call.
func Text(service, method, path, key string) string {
	return service + " did " + method + " " + path + " " + key
}

// Pad cuts or extends text to n bytes.
func Pad(text string, n int) string {
	return text[:min(n, len(text))] + strings.Repeat("x", max(0, n-len(text)))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// Announce announces the server, which listens at addr, to its node until ctx
// ends. It repeats the announcement, since a node that restarts has lost it.
func (s *Server) Announce(ctx context.Context, node admin.Client, addr string) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	retryDelay := 50 * time.Millisecond
	for {
		var err error
		if s.Faults().Leave {
			err = node.MarkBackendLeaving(ctx)
		} else {
			err = node.Announce(ctx, gate.Backend{Address: addr, Slots: s.cfg.Slots})
		}
		if err != nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(retryDelay):
				retryDelay = min(2*retryDelay, announceInterval)
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
