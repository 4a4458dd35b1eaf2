package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/eras"
	"tanagerchute/core/field"
	"tanagerchute/io/eramon"
)

// Config configures a Client.
type Config struct {
	Endpoints []string      // base URLs; after a network error the next one is used
	Timeout   time.Duration // of one call, watches excepted
	// OnCall, if set, is called with the path of each call, for metrics.
	OnCall func(path string)
	// Dial, if set, opens the connections.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

const (
	defaultTimeout      = 2 * time.Second
	maxResponseBytes    = 8 << 20  // of a response body, and of each message of a watch
	maxHeadBytes        = 64 << 10 // of the head of a response
	maxIdleConnsPerHost = 4        // to each endpoint
)

// Client implements tanagerchute.Store.
type Client struct {
	cfg      Config
	http     *http.Client
	eras     *eramon.Monitor
	endpoint atomic.Uint32 // index of the endpoint in use, modulo their number
}

var _ tanagerchute.Store = (*Client)(nil)

// New returns a client. It opens no connection before the first call.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.Timeout}).DialContext
	}
	t := &http.Transport{
		DialContext:            cfg.Dial,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{cfg: cfg, eras: eramon.New(), http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// noRedirect keeps the client from following redirects, which the store does not send.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements tanagerchute.Store.
func (c *Client) Get(ctx context.Context, key string) (tanagerchute.KV, tanagerchute.Revision, error) {
	var r RangeResponse
	era, err := c.read(ctx, PathRange, RangeRequest{Key: []byte(key)}, &r)
	if err != nil {
		return tanagerchute.KV{}, tanagerchute.Revision{}, errors.Wrapf(err, "get %s", key)
	}
	rev := c.eras.Revision(era, r.Header.Revision)
	if len(r.KVs) == 0 {
		return tanagerchute.KV{Key: key}, rev, nil
	}
	return r.KVs[0].kv(), rev, nil
}

// Unchanged implements tanagerchute.Store.
func (c *Client) Unchanged(ctx context.Context, key string, mod int64, since tanagerchute.Revision) (bool, tanagerchute.Revision, error) {
	var r RangeResponse
	era, err := c.read(ctx, PathRange, RangeRequest{Key: []byte(key), KeysOnly: true}, &r)
	if err == nil && era != since.Era {
		err = tanagerchute.ErrEraChanged
	}
	if err != nil {
		return false, tanagerchute.Revision{}, errors.Wrapf(err, "compare %s", key)
	}
	same := len(r.KVs) == 1 && r.KVs[0].ModRevision == mod && r.Header.Revision >= since.Number
	return same, c.eras.Revision(era, r.Header.Revision), nil
}

// List implements tanagerchute.Store.
func (c *Client) List(ctx context.Context, prefix string, consistency tanagerchute.Consistency) ([]tanagerchute.KV, tanagerchute.Revision, error) {
	var r RangeResponse
	req := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)), Serializable: consistency == tanagerchute.Stale}
	era, err := c.read(ctx, PathRange, req, &r)
	if err != nil {
		return nil, tanagerchute.Revision{}, errors.Wrapf(err, "list %s", prefix)
	}
	out := make([]tanagerchute.KV, len(r.KVs))
	for i, kv := range r.KVs {
		out[i] = kv.kv()
	}
	return out, c.eras.Revision(era, r.Header.Revision), nil
}

// Commit implements tanagerchute.Store.
func (c *Client) Commit(ctx context.Context, t tanagerchute.Txn) (bool, error) {
	if err := c.eras.CheckTxn(t); err != nil {
		return false, errors.Wrap(err, "commit")
	}
	var req TxnRequest
	for _, cond := range t.Conds {
		req.Compare = append(req.Compare, Compare{Key: []byte(cond.Key), Target: "MOD", Result: "EQUAL", ModRevision: cond.ModRevision})
	}
	for _, put := range t.Puts {
		req.Success = append(req.Success, RequestOp{Put: &PutRequest{Key: []byte(put.Key), Value: put.Value, Lease: put.Lease.ID}})
	}
	for _, key := range t.Deletes {
		req.Success = append(req.Success, RequestOp{Delete: &DeleteRequest{Key: []byte(key)}})
	}
	var r TxnResponse
	era, err := c.call(ctx, PathTxn, req, &r)
	if err == nil && r.Succeeded {
		err = eramon.CheckCommit(t, era)
	}
	if err != nil {
		return false, errors.Wrap(err, "commit")
	}
	return r.Succeeded, nil
}

// Grant implements tanagerchute.Store. It rounds the time to live up to whole
// seconds, the unit of the gateway.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (tanagerchute.Lease, error) {
	var r LeaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	era, err := c.call(ctx, PathGrant, LeaseRequest{TTL: seconds}, &r)
	if err != nil {
		return tanagerchute.Lease{}, errors.Wrap(err, "grant lease")
	}
	return tanagerchute.Lease{Era: era, ID: r.ID}, nil
}

// KeepAlive implements tanagerchute.Store.
func (c *Client) KeepAlive(ctx context.Context, lease tanagerchute.Lease) error {
	var r KeepAliveResponse
	if err := c.callLease(ctx, PathKeepAlive, lease, &r); err != nil {
		return errors.Wrap(err, "keep lease alive")
	}
	if r.Result.TTL <= 0 {
		return errors.Wrap(tanagerchute.ErrLeaseExpired, "keep lease alive")
	}
	return nil
}

// Revoke implements tanagerchute.Store.
func (c *Client) Revoke(ctx context.Context, lease tanagerchute.Lease) error {
	var r HeaderResponse
	if err := c.callLease(ctx, PathRevoke, lease, &r); err != nil {
		return errors.Wrap(err, "revoke lease")
	}
	return nil
}

// callLease makes a call about one lease. It returns tanagerchute.ErrLeaseExpired if
// the lease is of another era than the store.
func (c *Client) callLease(ctx context.Context, path string, lease tanagerchute.Lease, res response) error {
	if err := c.eras.CheckLease(lease); err != nil {
		return err
	}
	era, err := c.call(ctx, path, LeaseRequest{ID: lease.ID}, res)
	if err == nil && eras.Differ(lease.Era, era) {
		return tanagerchute.ErrLeaseExpired
	}
	return err
}

// Eras implements tanagerchute.Store.
func (c *Client) Eras() eras.State { return c.eras.State() }

// OnEraVerdict implements tanagerchute.Store.
func (c *Client) OnEraVerdict(f func(eras.Verdict)) { c.eras.OnVerdict(f) }

// kv converts a key from its wire format.
func (kv KeyValue) kv() tanagerchute.KV {
	return tanagerchute.KV{
		Key:            string(kv.Key),
		Value:          kv.Value,
		ModRevision:    kv.ModRevision,
		CreateRevision: kv.CreateRevision,
		Lease:          kv.Lease,
	}
}

// response is the body of a response.
type response interface {
	// complete reports whether the response holds what the store always sends.
	complete() bool
}

// read is like call, for a read-only call. A lost response returns ErrUnavailable
// instead of ErrOutcomeUnknown, since the call has had no effect.
func (c *Client) read(ctx context.Context, path string, req any, res response) (eras.Era, error) {
	era, err := c.call(ctx, path, req, res)
	return era, tanagerchute.ReadError(err)
}

// call sends req to path and decodes the response into res. It returns the era of the
// response.
func (c *Client) call(ctx context.Context, path string, req any, res response) (eras.Era, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	r, era, err := c.post(ctx, path, req)
	if err != nil {
		return era, err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return era, tanagerchute.CallError(err)
	}
	if err := json.Unmarshal(body, res); err != nil {
		return era, errors.Wrap(tanagerchute.ErrOutcomeUnknown, err.Error())
	}
	if !res.complete() {
		return era, errors.Wrapf(tanagerchute.ErrOutcomeUnknown, "response of %d bytes is not complete", len(body))
	}
	return era, nil
}

// post sends body to path and returns the response, if its status is 200, and its era.
// After a network error it switches to the next endpoint. A response of an earlier era
// than the current one is ignored.
func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, eras.Era, error) {
	if c.cfg.OnCall != nil {
		c.cfg.OnCall(path)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eras.Era{}, errors.Wrap(err, "encode")
	}
	base := c.cfg.Endpoints[int(c.endpoint.Load())%len(c.cfg.Endpoints)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(base, "/")+path, bytes.NewReader(data))
	if err != nil {
		return nil, eras.Era{}, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	sentAt := time.Now()
	res, err := c.http.Do(req)
	if err != nil {
		c.endpoint.Add(1)
		return nil, eras.Era{}, tanagerchute.CallError(err)
	}
	if err := field.CheckNames(res.Header); err != nil {
		_ = res.Body.Close()
		return nil, eras.Era{}, tanagerchute.CallError(err)
	}
	era, err := c.eras.Observe(res.Header.Values(EraHeader), sentAt)
	if err == nil && res.StatusCode == http.StatusOK {
		return res, era, nil
	}
	defer res.Body.Close()
	if err == nil {
		err = statusError(res)
	}
	return nil, era, err
}

// gRPC status codes in error responses of the gateway.
const (
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeOutOfRange        = 11
)

// statusError converts a response whose status is not 200 to an error.
func statusError(res *http.Response) error {
	var e ErrorResponse
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	_ = json.Unmarshal(body, &e) // the body may be a proxy's error page, which is not JSON
	switch {
	case e.Code == codeResourceExhausted || res.StatusCode == http.StatusTooManyRequests:
		return errors.Wrap(tanagerchute.ErrThrottled, e.Message)
	case e.Code == codeNotFound:
		return errors.Wrap(tanagerchute.ErrLeaseExpired, e.Message)
	case e.Code == codeOutOfRange:
		return errors.Wrap(tanagerchute.ErrCompacted, e.Message)
	case res.StatusCode < http.StatusBadRequest || res.StatusCode >= http.StatusInternalServerError:
		// The store may still execute a write that it has reported as failed, for
		// example after a timeout, or for which it has sent no status of its own.
		return errors.Wrapf(tanagerchute.ErrOutcomeUnknown, "status %d %s", res.StatusCode, e.Message)
	}
	return errors.Errorf("store rejected the call: status %d %s", res.StatusCode, e.Message)
}
