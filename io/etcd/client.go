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
	maxResponseBytes    = 8 << 20 // of a response body, except that of a watch
	maxIdleConnsPerHost = 4       // to each endpoint
)

// Client implements tanagerchute.Store.
type Client struct {
	cfg      Config
	http     *http.Client
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
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{
		DialContext:         cfg.Dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,
	}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements tanagerchute.Store.
func (c *Client) Get(ctx context.Context, key string) (tanagerchute.KV, int64, error) {
	var r RangeResponse
	if err := c.read(ctx, PathRange, RangeRequest{Key: []byte(key)}, &r); err != nil {
		return tanagerchute.KV{}, 0, errors.Wrapf(err, "get %s", key)
	}
	if len(r.KVs) == 0 {
		return tanagerchute.KV{Key: key}, r.Header.Revision, nil
	}
	return r.KVs[0].kv(), r.Header.Revision, nil
}

// List implements tanagerchute.Store.
func (c *Client) List(ctx context.Context, prefix string, consistency tanagerchute.Consistency) ([]tanagerchute.KV, int64, error) {
	var r RangeResponse
	req := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)), Serializable: consistency == tanagerchute.Stale}
	if err := c.read(ctx, PathRange, req, &r); err != nil {
		return nil, 0, errors.Wrapf(err, "list %s", prefix)
	}
	out := make([]tanagerchute.KV, len(r.KVs))
	for i, kv := range r.KVs {
		out[i] = kv.kv()
	}
	return out, r.Header.Revision, nil
}

// Commit implements tanagerchute.Store.
func (c *Client) Commit(ctx context.Context, t tanagerchute.Txn) (bool, error) {
	var req TxnRequest
	for _, cond := range t.Conds {
		req.Compare = append(req.Compare, Compare{Key: []byte(cond.Key), Target: "MOD", Result: "EQUAL", ModRevision: cond.ModRevision})
	}
	for _, put := range t.Puts {
		req.Success = append(req.Success, RequestOp{Put: &PutRequest{Key: []byte(put.Key), Value: put.Value, Lease: put.Lease}})
	}
	for _, key := range t.Deletes {
		req.Success = append(req.Success, RequestOp{Delete: &DeleteRequest{Key: []byte(key)}})
	}
	var r TxnResponse
	if err := c.call(ctx, PathTxn, req, &r); err != nil {
		return false, errors.Wrap(err, "commit")
	}
	return r.Succeeded, nil
}

// Grant implements tanagerchute.Store. It rounds the time to live up to whole
// seconds, the unit of the gateway.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var r LeaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	if err := c.call(ctx, PathGrant, LeaseRequest{TTL: seconds}, &r); err != nil {
		return 0, errors.Wrap(err, "grant lease")
	}
	return r.ID, nil
}

// KeepAlive implements tanagerchute.Store.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	var r KeepAliveResponse
	if err := c.call(ctx, PathKeepAlive, LeaseRequest{ID: lease}, &r); err != nil {
		return errors.Wrap(err, "keep lease alive")
	}
	if r.Result.TTL <= 0 {
		return errors.Wrap(tanagerchute.ErrLeaseExpired, "keep lease alive")
	}
	return nil
}

// Revoke implements tanagerchute.Store.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	var r HeaderResponse
	if err := c.call(ctx, PathRevoke, LeaseRequest{ID: lease}, &r); err != nil {
		return errors.Wrap(err, "revoke lease")
	}
	return nil
}

// Watch implements tanagerchute.Store.
func (c *Client) Watch(ctx context.Context, key string, revision int64, ready func(), f func(tanagerchute.Event)) error {
	req := WatchRequest{Create: WatchCreate{Key: []byte(key), StartRevision: revision}}
	res, err := c.post(ctx, PathWatch, req)
	if err != nil {
		return errors.Wrapf(err, "watch %s", key)
	}
	defer res.Body.Close()
	dec := json.NewDecoder(res.Body)
	for {
		var m WatchResponse
		if err := dec.Decode(&m); err != nil {
			return errors.Wrapf(tanagerchute.ErrUnavailable, "watch %s ended: %v", key, err)
		}
		if m.Result.CompactRevision > 0 {
			return errors.Wrapf(tanagerchute.ErrCompacted, "watch %s from revision %d", key, revision)
		}
		if m.Result.Canceled {
			return errors.Wrapf(tanagerchute.ErrUnavailable, "watch %s canceled by the store", key)
		}
		if m.Result.Created {
			ready()
		}
		for _, e := range m.Result.Events {
			f(tanagerchute.Event{KV: e.KV.kv(), Deleted: e.Type == "DELETE"})
		}
	}
}

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

// read is like call, for a read-only call. A lost response returns ErrUnavailable
// instead of ErrOutcomeUnknown, since the call has had no effect.
func (c *Client) read(ctx context.Context, path string, req, res any) error {
	return tanagerchute.ReadError(c.call(ctx, path, req, res))
}

// call sends req to path and decodes the response into res.
func (c *Client) call(ctx context.Context, path string, req, res any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	r, err := c.post(ctx, path, req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return tanagerchute.CallError(err)
	}
	if err := json.Unmarshal(body, res); err != nil {
		return errors.Wrap(tanagerchute.ErrOutcomeUnknown, err.Error())
	}
	return nil
}

// post sends body to path and returns the response if its status is 200. After a
// network error it switches to the next endpoint.
func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	if c.cfg.OnCall != nil {
		c.cfg.OnCall(path)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	base := c.cfg.Endpoints[int(c.endpoint.Load())%len(c.cfg.Endpoints)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(base, "/")+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		c.endpoint.Add(1)
		return nil, tanagerchute.CallError(err)
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer res.Body.Close()
	return nil, statusError(res)
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
	case res.StatusCode >= http.StatusInternalServerError:
		// The store may still execute a write that it has reported as failed, for
		// example after a timeout.
		return errors.Wrapf(tanagerchute.ErrOutcomeUnknown, "status %d %s", res.StatusCode, e.Message)
	}
	return errors.Errorf("store rejected the call: status %d %s", res.StatusCode, e.Message)
}
