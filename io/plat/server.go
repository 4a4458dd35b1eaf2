package plat

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"tanagerchute/core/jsonc"
	"tanagerchute/io/etcd"
)

// Config configures a Server.
type Config struct {
	ReadRate  float64 // reads a second, 0 for no limit
	WriteRate float64 // writes a second, 0 for no limit
}

// Faults are the faults that can be switched while a Server runs.
type Faults struct {
	Down        bool           `json:"down"`         // refuse every call and cut every watch
	Slow        jsonc.Duration `json:"slow"`         // delay of each call
	LoseAnswers int            `json:"lose_answers"` // take effect, then cut the connection: for the next n writes
	MuteWatches bool           `json:"mute_watches"` // watches stay open and say nothing
}

const (
	maxBody    = 4 << 20
	maxValue   = 1 << 20
	leaseSweep = 100 * time.Millisecond
)

// Calls counts the calls that a Server has taken.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	cfg     Config
	mem     *memory
	mux     *http.ServeMux
	reads   *rate.Limiter
	writes  *rate.Limiter
	mu      sync.Mutex
	faults  Faults
	cut     chan struct{} // closed when the store goes down
	nreads  atomic.Uint64
	nwrites atomic.Uint64
	nwatch  atomic.Uint64
}

// New returns an empty store.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mem: newMemory(), mux: http.NewServeMux(), cut: make(chan struct{})}
	s.reads = limiter(cfg.ReadRate)
	s.writes = limiter(cfg.WriteRate)
	s.routes()
	return s
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

func (s *Server) routes() {
	handle(s, etcd.PathRange, s.reads, s.rangeKeys)
	handle(s, etcd.PathPut, s.writes, s.put)
	handle(s, etcd.PathDelete, s.writes, s.remove)
	handle(s, etcd.PathTxn, s.writes, s.txn)
	handle(s, etcd.PathGrant, s.writes, s.grant)
	handle(s, etcd.PathKeepAlive, s.writes, s.keepAlive)
	handle(s, etcd.PathRevoke, s.writes, s.revoke)
	s.mux.HandleFunc("POST "+etcd.PathWatch, s.watch)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	s.mux.HandleFunc("POST /faults/lapse", s.lapse)
	s.mux.HandleFunc("POST /faults/rollback", s.rollbackHead)
	s.mux.HandleFunc("GET /calls", s.getCalls)
}

// Run expires leases until ctx ends.
func (s *Server) Run(ctx context.Context) {
	t := time.NewTicker(leaseSweep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.mem.expire(now, false)
		}
	}
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
	if f.Down && !s.faults.Down {
		close(s.cut)
		s.cut = make(chan struct{})
	}
	s.faults = f
}

// Lapse ends all leases at once.
func (s *Server) Lapse() { s.mem.expire(time.Now(), true) }

// Rollback undoes the last n changes of the keys with a prefix.
func (s *Server) Rollback(prefix string, n int) { s.mem.rollback(prefix, n) }

// Calls returns the number of calls taken so far.
func (s *Server) Calls() Calls {
	return Calls{s.nreads.Load(), s.nwrites.Load(), s.nwatch.Load()}
}

// loses reports whether the answer of a write is to be lost.
func (s *Server) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Server) cutChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

// failure is an error answer of the gateway.
type failure struct {
	status int
	code   int
	msg    string
}

var (
	errThrottled = &failure{http.StatusTooManyRequests, 8, "etcdserver: too many requests"}
	errNoLease   = &failure{http.StatusNotFound, 5, "etcdserver: requested lease not found"}
	errTooLarge  = &failure{http.StatusBadRequest, 3, "etcdserver: request is too large"}
)

// handle registers a call with its codec, rate limit and faults.
func handle[Req, Res any](s *Server, path string, limit *rate.Limiter, f func(Req) (Res, *failure)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		write := limit == s.writes
		if fail := s.admit(r.Context(), limit, write); fail != nil {
			fail.write(w)
			return
		}
		var req Req
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&req); err != nil {
			(&failure{http.StatusBadRequest, 3, err.Error()}).write(w)
			return
		}
		res, fail := f(req)
		if fail != nil {
			fail.write(w)
			return
		}
		if write && s.loses() {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, res)
	})
}

func (s *Server) admit(ctx context.Context, limit *rate.Limiter, write bool) *failure {
	f := s.Faults()
	if f.Down {
		// A store that is down does not answer; here it cuts the connection,
		// so that tests don't wait.
		panic(http.ErrAbortHandler)
	}
	if write {
		s.nwrites.Add(1)
	} else {
		s.nreads.Add(1)
	}
	if f.Slow > 0 {
		select {
		case <-time.After(f.Slow.Std()):
		case <-ctx.Done():
		}
	}
	if !limit.Allow() {
		return errThrottled
	}
	return nil
}

func (f *failure) write(w http.ResponseWriter) {
	writeJSON(w, f.status, etcd.ErrorResponse{Error: f.msg, Message: f.msg, Code: f.code})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller has gone if this fails
}

func (s *Server) rangeKeys(r etcd.RangeRequest) (etcd.RangeResponse, *failure) {
	kvs, rev := s.mem.list(r.Key, r.RangeEnd)
	return etcd.RangeResponse{Header: etcd.Header{Revision: rev}, KVs: kvs, Count: int64(len(kvs))}, nil
}

func (s *Server) put(p etcd.PutRequest) (etcd.HeaderResponse, *failure) {
	res, fail := s.txn(etcd.TxnRequest{Success: []etcd.RequestOp{{Put: &p}}})
	return etcd.HeaderResponse{Header: res.Header}, fail
}

func (s *Server) remove(d etcd.DeleteRequest) (etcd.HeaderResponse, *failure) {
	res, fail := s.txn(etcd.TxnRequest{Success: []etcd.RequestOp{{Delete: &d}}})
	return etcd.HeaderResponse{Header: res.Header}, fail
}

func (s *Server) txn(req etcd.TxnRequest) (etcd.TxnResponse, *failure) {
	for _, op := range req.Success {
		if op.Put != nil && len(op.Put.Value) > maxValue {
			return etcd.TxnResponse{}, errTooLarge
		}
	}
	ok, known, rev := s.mem.txn(req)
	if !known {
		return etcd.TxnResponse{}, errNoLease
	}
	return etcd.TxnResponse{Header: etcd.Header{Revision: rev}, Succeeded: ok}, nil
}

func (s *Server) grant(r etcd.LeaseRequest) (etcd.LeaseResponse, *failure) {
	id := s.mem.grant(time.Now(), time.Duration(r.TTL)*time.Second)
	return etcd.LeaseResponse{ID: id, TTL: r.TTL}, nil
}

func (s *Server) keepAlive(r etcd.LeaseRequest) (etcd.KeepAliveResponse, *failure) {
	ttl, ok := s.mem.keepAlive(time.Now(), r.ID)
	if !ok {
		return etcd.KeepAliveResponse{Result: etcd.LeaseResponse{ID: r.ID}}, nil
	}
	return etcd.KeepAliveResponse{Result: etcd.LeaseResponse{ID: r.ID, TTL: int64(ttl / time.Second)}}, nil
}

func (s *Server) revoke(r etcd.LeaseRequest) (etcd.HeaderResponse, *failure) {
	s.mem.revokeLease(r.ID)
	return etcd.HeaderResponse{}, nil
}
