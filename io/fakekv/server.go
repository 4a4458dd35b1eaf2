package fakekv

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

// Faults selects the faults to inject. They can be changed while a Server runs.
type Faults struct {
	Down        bool           `json:"down"`         // close the connection of every call and of every open watch
	Slow        jsonc.Duration `json:"slow"`         // delay before each call
	LoseAnswers int            `json:"lose_answers"` // number of writes to apply without a response, closing the connection
	MuteWatches bool           `json:"mute_watches"` // keep watches open but send no events
}

const (
	maxBodyBytes       = 4 << 20
	maxValueBytes      = 1 << 20
	leaseSweepInterval = 100 * time.Millisecond // between checks for expired leases
)

// Calls counts the calls that a Server has received, including throttled ones.
// A watch also counts as a read. Calls that are cut off by the fault Down are not
// counted as reads or writes.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Server is a stand-in key-value service. It implements http.Handler.
type Server struct {
	cfg        Config
	store      *store
	mux        *http.ServeMux
	reads      *rate.Limiter
	writes     *rate.Limiter
	mu         sync.Mutex
	faults     Faults
	down       chan struct{} // closed and replaced by cutWatches
	copied     *snapshot     // taken by TakeCopy
	awayUntil  time.Time     // set by RestoreCopy
	readCalls  atomic.Uint64
	writeCalls atomic.Uint64
	watchCalls atomic.Uint64
}

// New returns a Server without keys, leases and faults.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, store: newStore(), mux: http.NewServeMux(), down: make(chan struct{})}
	s.reads = newLimiter(cfg.ReadRate)
	s.writes = newLimiter(cfg.WriteRate)
	s.routes()
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
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
	s.mux.HandleFunc("POST /faults/lapse", s.postLapse)
	s.mux.HandleFunc("POST /faults/rollback", s.postRollback)
	s.mux.HandleFunc("POST /faults/copy", s.postCopy)
	s.mux.HandleFunc("POST /faults/restore", s.postRestore)
	s.mux.HandleFunc("GET /calls", s.getCalls)
}

// Run expires leases until ctx ends.
func (s *Server) Run(ctx context.Context) {
	t := time.NewTicker(leaseSweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.store.expire(now, false)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(newEraWriter(s, w), r)
}

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
	if f.Down && !s.faults.Down {
		s.cutWatches()
	}
	s.faults = f
}

// cutWatches closes the connections of all open watches. It must be called with
// s.mu held.
func (s *Server) cutWatches() {
	close(s.down)
	s.down = make(chan struct{})
}

// ExpireLeases ends all leases at once.
func (s *Server) ExpireLeases() { s.store.expire(time.Now(), true) }

// Rollback undoes the last n changes of the keys with the given prefix.
func (s *Server) Rollback(prefix string, n int) { s.store.rollback(prefix, n) }

// Calls returns the number of calls received so far.
func (s *Server) Calls() Calls {
	return Calls{s.readCalls.Load(), s.writeCalls.Load(), s.watchCalls.Load()}
}

// takeLostAnswer reports whether to drop the response of a write, and counts
// that write against Faults.LoseAnswers.
func (s *Server) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Server) downChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// gatewayError is an error response of the gateway.
type gatewayError struct {
	status int // HTTP status
	code   int // gRPC status code
	msg    string
}

var (
	errTooManyRequests = &gatewayError{http.StatusTooManyRequests, 8, "etcdserver: too many requests"}
	errLeaseNotFound   = &gatewayError{http.StatusNotFound, 5, "etcdserver: requested lease not found"}
	errTooLarge        = &gatewayError{http.StatusBadRequest, 3, "etcdserver: request is too large"}
)

// handle registers f for the calls to a path. It applies the injected faults and
// the rate limit, decodes the request and encodes the response.
func handle[Req, Res any](s *Server, path string, limit *rate.Limiter, f func(Req) (Res, *gatewayError)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		write := limit == s.writes
		if fail := s.admit(r.Context(), limit, write); fail != nil {
			fail.write(w)
			return
		}
		var req Req
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&req); err != nil {
			(&gatewayError{http.StatusBadRequest, 3, err.Error()}).write(w)
			return
		}
		res, fail := f(req)
		if fail != nil {
			fail.write(w)
			return
		}
		if write && s.takeLostAnswer() {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, res)
	})
}

// admit counts a call and applies the faults Down and Slow and the rate limit.
func (s *Server) admit(ctx context.Context, limit *rate.Limiter, write bool) *gatewayError {
	f := s.Faults()
	if f.Down || s.isAway() {
		// A real store that is down does not respond. The stand-in closes the
		// connection instead, so that tests don't wait for a timeout.
		panic(http.ErrAbortHandler)
	}
	if write {
		s.writeCalls.Add(1)
	} else {
		s.readCalls.Add(1)
	}
	if f.Slow > 0 {
		select {
		case <-time.After(f.Slow.Std()):
		case <-ctx.Done():
		}
	}
	if !limit.Allow() {
		return errTooManyRequests
	}
	return nil
}

func (e *gatewayError) write(w http.ResponseWriter) {
	writeJSON(w, e.status, etcd.ErrorResponse{Error: e.msg, Message: e.msg, Code: e.code})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

func (s *Server) rangeKeys(r etcd.RangeRequest) (etcd.RangeResponse, *gatewayError) {
	kvs, rev := s.store.list(r.Key, r.RangeEnd)
	if r.KeysOnly {
		for i := range kvs {
			kvs[i].Value = nil
		}
	}
	return etcd.RangeResponse{Header: etcd.Header{Revision: rev}, KVs: kvs, Count: int64(len(kvs))}, nil
}

func (s *Server) put(p etcd.PutRequest) (etcd.HeaderResponse, *gatewayError) {
	res, fail := s.txn(etcd.TxnRequest{Success: []etcd.RequestOp{{Put: &p}}})
	return etcd.HeaderResponse{Header: res.Header}, fail
}

func (s *Server) remove(d etcd.DeleteRequest) (etcd.HeaderResponse, *gatewayError) {
	res, fail := s.txn(etcd.TxnRequest{Success: []etcd.RequestOp{{Delete: &d}}})
	return etcd.HeaderResponse{Header: res.Header}, fail
}

func (s *Server) txn(req etcd.TxnRequest) (etcd.TxnResponse, *gatewayError) {
	for _, op := range req.Success {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			return etcd.TxnResponse{}, errTooLarge
		}
	}
	ok, leasesExist, rev := s.store.txn(req)
	if !leasesExist {
		return etcd.TxnResponse{}, errLeaseNotFound
	}
	return etcd.TxnResponse{Header: etcd.Header{Revision: rev}, Succeeded: ok}, nil
}

func (s *Server) grant(r etcd.LeaseRequest) (etcd.LeaseResponse, *gatewayError) {
	id := s.store.grant(time.Now(), time.Duration(r.TTL)*time.Second)
	return etcd.LeaseResponse{ID: id, TTL: r.TTL}, nil
}

func (s *Server) keepAlive(r etcd.LeaseRequest) (etcd.KeepAliveResponse, *gatewayError) {
	ttl, ok := s.store.keepAlive(time.Now(), r.ID)
	if !ok {
		return etcd.KeepAliveResponse{Result: etcd.LeaseResponse{ID: r.ID}}, nil
	}
	return etcd.KeepAliveResponse{Result: etcd.LeaseResponse{ID: r.ID, TTL: int64(ttl / time.Second)}}, nil
}

func (s *Server) revoke(r etcd.LeaseRequest) (etcd.HeaderResponse, *gatewayError) {
	s.store.revokeLease(r.ID)
	return etcd.HeaderResponse{}, nil
}
