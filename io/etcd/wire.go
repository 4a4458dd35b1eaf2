package etcd

import "slices"

// The types below are those parts of the messages of the etcd v3 JSON gateway
// that this package uses. As in the gateway, keys and values are encoded as
// base64, and 64-bit integers as strings.

// Header is the header of a response.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is a key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// complete reports whether the header is that of an answer of the store, whose first
// revision is 1.
func (h Header) complete() bool { return h.Revision > 0 }

// complete reports whether kv holds what the store always sends of a key.
func (kv KeyValue) complete() bool { return len(kv.Key) > 0 && kv.ModRevision > 0 }

// RangeRequest is the body of /v3/kv/range.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Serializable allows the endpoint to answer from its local state, which may
	// be out of date.
	Serializable bool `json:"serializable,omitempty"`
	KeysOnly     bool `json:"keys_only,omitempty"` // leave the values out of the response
}

// RangeResponse is the response of /v3/kv/range.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

func (r RangeResponse) complete() bool {
	return r.Header.complete() && !slices.ContainsFunc(r.KVs, func(kv KeyValue) bool { return !kv.complete() })
}

// PutRequest is the body of /v3/kv/put.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest is the body of /v3/kv/deleterange.
type DeleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// Compare is a condition of a transaction. This package only compares the
// modification revision for equality (Target "MOD", Result "EQUAL").
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// RequestOp is one operation of a transaction. Only one of the fields is set.
type RequestOp struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is the body of /v3/kv/txn.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// TxnResponse is the response of /v3/kv/txn.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

func (r TxnResponse) complete() bool { return r.Header.complete() }

// HeaderResponse is a response of which only the header is used.
type HeaderResponse struct {
	Header Header `json:"header"`
}

func (HeaderResponse) complete() bool { return true } // its status says all

// LeaseRequest is the body of the lease calls. TTL is in seconds.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse is the response of /v3/lease/grant and, wrapped in a
// KeepAliveResponse, of /v3/lease/keepalive. TTL is in seconds. In a response of
// keepalive it is 0 if the lease has expired.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

func (r LeaseResponse) complete() bool { return r.ID > 0 }

// KeepAliveResponse is the response of /v3/lease/keepalive.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

func (r KeepAliveResponse) complete() bool { return r.Result.complete() }

// WatchRequest is the body of /v3/watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate has the key or range to watch and the first revision to report.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchEvent is a change of a key. Type is empty or "PUT" for a write, and
// "DELETE" for a deletion.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is one message of a watch. CompactRevision is set if the watch was
// canceled since its start revision has been compacted.
type WatchResult struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchResponse wraps a WatchResult in the response stream of /v3/watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// ErrorResponse is the body of a response whose status is not 200. Code is a gRPC
// status code.
type ErrorResponse struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// EraHeader is the HTTP header with the era of the store, a whole number that rises
// each time the store restarts from an older copy. etcd itself does not send it: who
// restores a copy sets it at the proxy in front of the store.
const EraHeader = "X-Store-Era"

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathPut       = "/v3/kv/put"
	PathDelete    = "/v3/kv/deleterange"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// PrefixEnd returns the end of the range of all keys with the given prefix. The
// end is exclusive. It is a single zero byte, which means no end, if there is no
// greater key.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
