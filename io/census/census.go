package census

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"tanagerchute"
	"tanagerchute/core/member"
	"tanagerchute/io/timer"
)

const (
	callTimeout = 400 * time.Millisecond // of a call to the store
	// A write that failed is made again after firstPause, and then after pauses that double up
	// to lastPause.
	firstPause = 100 * time.Millisecond
	lastPause  = 10 * time.Second
	// firstWriteSpread bounds the random delay of the write of a node that starts with the whole
	// deployment, so that the writes of a large one stay below the rate limit of the store.
	firstWriteSpread = 5 * time.Second
)

// Config configures a Register.
type Config struct {
	Store  tanagerchute.Store
	Prefix string        // of the keys of all records, ends with a slash
	Self   member.Record // of this node
	// FirstStart means that the whole deployment starts for the first time.
	FirstStart bool
}

// Register is the list of the addresses of nodes. It is safe for concurrent use.
type Register struct{ cfg Config }

// New returns the register as one node sees it.
func New(cfg Config) *Register { return &Register{cfg: cfg} }

// record is the stored form of an address.
type record struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
}

// key returns the key of this node's address.
func (r *Register) key() string { return r.cfg.Prefix + r.cfg.Self.Addr }

// Run adds the address of this node, unless it is there, and returns when that is done or ctx
// has ended.
func (r *Register) Run(ctx context.Context) {
	if r.cfg.FirstStart && !timer.Sleep(ctx, rand.N(firstWriteSpread)) {
		return
	}
	timer.Retry(ctx, firstPause, lastPause, func() bool { return r.add(ctx) })
}

// add adds the address, and reports whether the store has it.
func (r *Register) add(ctx context.Context) bool {
	value, err := json.Marshal(record{r.cfg.Self.Addr, r.cfg.Self.DataCentre, r.cfg.Self.Region})
	if err != nil {
		return true // it never will be
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = r.cfg.Store.Commit(ctx, tanagerchute.Txn{
		Conds: []tanagerchute.Cond{{Key: r.key()}}, Puts: []tanagerchute.Put{{Key: r.key(), Value: value}},
	})
	return err == nil
}

// Read returns a record of each node that may run, as a member of which nothing else is known. The
// read is linearizable.
func (r *Register) Read(ctx context.Context) ([]member.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, _, err := r.cfg.Store.List(ctx, r.cfg.Prefix, tanagerchute.Latest)
	if err != nil {
		return nil, err
	}
	var out []member.Record
	for _, kv := range kvs {
		var x record
		if json.Unmarshal(kv.Value, &x) != nil || x.Addr == "" {
			continue // of another writer
		}
		out = append(out, member.Record{ID: "expected@" + x.Addr, Addr: x.Addr, DataCentre: x.DataCentre, Region: x.Region})
	}
	return out, nil
}

// Remove removes the address of this node, which stops for good.
func (r *Register) Remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = r.cfg.Store.Commit(ctx, tanagerchute.Txn{Deletes: []string{r.key()}}) // one that stays costs a minute of less quota at most
}
