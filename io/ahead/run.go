package ahead

import (
	"context"
	"maps"
	"net/http"
	"slices"
)

// run is a request that was started ahead of its turn.
type run struct {
	turn     uint64 // number of the request on its connection
	request  *http.Request
	cancel   context.CancelFunc
	response *recorder
	panicked any           // value with which the handler panicked, nil if it did not
	done     chan struct{} // closed when response is complete
}

// start starts r. Its context ends when that of the connection does.
func (p *Pipeline) start(ctx context.Context, r *http.Request) *run {
	ctx, cancel := context.WithCancel(ctx)
	e := &run{request: r, cancel: cancel, response: newRecorder(ctx, p), done: make(chan struct{})}
	if p.cfg.OnStart != nil {
		p.cfg.OnStart()
	}
	go func() {
		defer close(e.done)
		defer func() { e.panicked = recover() }()
		p.cfg.Handler.ServeHTTP(e.response, r.WithContext(ctx))
	}()
	return e
}

// finish writes the response to w when it is complete, or as it comes if it is not kept. If ctx,
// that of the request in its turn, ends first, the run is cancelled. A panic of the handler
// goes on here.
func (e *run) finish(ctx context.Context, w http.ResponseWriter) {
	defer e.cancel()
	defer e.response.drop()
	defer context.AfterFunc(ctx, e.cancel)()
	select {
	case <-e.done:
	case e.response.turn <- w:
		<-e.done
	}
	if e.panicked != nil {
		panic(e.panicked)
	}
	e.response.copyTo(w)
}

// abandon cancels a run that nobody waits for.
func (e *run) abandon() {
	e.cancel()
	go func() {
		<-e.done
		e.response.drop()
	}()
}

// answers reports whether e is a run of r.
func (e *run) answers(r *http.Request) bool {
	return e.request.Method == r.Method && e.request.RequestURI == r.RequestURI && e.request.Host == r.Host &&
		maps.EqualFunc(e.request.Header, r.Header, slices.Equal[[]string])
}

// recorder is a ResponseWriter that keeps the response, or waits for its turn if there is no
// room to keep it.
type recorder struct {
	ctx      context.Context // of the run
	pipeline *Pipeline
	turn     chan http.ResponseWriter // gives the writer of the response in its turn
	header   http.Header
	status   int // 0 until it is written
	body     []byte
	out      http.ResponseWriter // where the response is written in its turn, nil while it is kept
}

func newRecorder(ctx context.Context, p *Pipeline) *recorder {
	return &recorder{ctx: ctx, pipeline: p, turn: make(chan http.ResponseWriter), header: http.Header{}}
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. Informational statuses are dropped.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 && status >= http.StatusOK {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.out == nil && r.pipeline.keep(len(b)) {
		r.body = append(r.body, b...)
		return len(b), nil
	}
	if err := r.awaitTurn(); err != nil {
		return 0, err
	}
	return r.out.Write(b)
}

// awaitTurn waits for the turn of the response and writes what has been kept.
func (r *recorder) awaitTurn() error {
	if r.out != nil {
		return nil
	}
	select {
	case w := <-r.turn:
		r.copyTo(w)
		r.drop()
		r.out = w
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// drop gives back the room for what is kept.
func (r *recorder) drop() {
	r.pipeline.unkeep(len(r.body))
	r.body = nil
}

// copyTo writes what has been kept to w, unless the response is written there already.
func (r *recorder) copyTo(w http.ResponseWriter) {
	if r.out != nil {
		return
	}
	maps.Copy(w.Header(), r.header)
	if r.status != 0 {
		w.WriteHeader(r.status)
	}
	if len(r.body) > 0 {
		_, _ = w.Write(r.body) // fails only if the caller has disconnected
	}
}
