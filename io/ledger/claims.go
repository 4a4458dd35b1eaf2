package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
)

// claimRetentionDays is the number of calendar days, in UTC, on which a claim can be
// found, including the day on which it was made.
const claimRetentionDays = 2

// sweepBatchSize is the maximum number of claims deleted in one transaction.
const sweepBatchSize = 100

// Claims records in the store when an idempotency key was first seen. Each claim
// costs a write to the store, so it is only used for opaque keys, which do not
// contain the time at which they were issued.
type Claims struct {
	cfg    Config
	mu     sync.Mutex
	recent []ownClaim // made by this process, oldest first
}

// NewClaims returns the Claims of a deployment.
func NewClaims(cfg Config) *Claims { return &Claims{cfg: cfg} }

// claim is the value of a claim in the store.
type claim struct {
	Issued time.Time `json:"issued"`
}

// dayPrefix returns the prefix of the keys of the claims made on a day.
func (c *Claims) dayPrefix(day time.Time) string {
	return Prefix(c.cfg.Deployment) + "claims/" + day.UTC().Format("20060102") + "/"
}

// claimKeys returns the keys under which the claim of id can be stored, one for each
// day of claimRetentionDays, today's first.
func (c *Claims) claimKeys(id string, now time.Time) []string {
	sum := sha256.Sum256([]byte(id))
	var out []string
	for day := range claimRetentionDays {
		out = append(out, c.dayPrefix(now.AddDate(0, 0, -day))+hex.EncodeToString(sum[:]))
	}
	return out
}

// Claim returns the time at which id was first claimed. If it has not been claimed,
// Claim claims it and returns now. It searches the claims made on the present and
// the previous day, in UTC. It returns an error if the store can't be read or
// written.
func (c *Claims) Claim(ctx context.Context, id string, now time.Time) (time.Time, error) {
	keys := c.claimKeys(id, now)
	value, err := json.Marshal(claim{Issued: now})
	if err != nil {
		return time.Time{}, errors.Wrap(err, "encode claim")
	}
	txn := tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: keys[0], Value: value}}}
	for _, k := range keys {
		txn.Conds = append(txn.Conds, tanagerchute.Cond{Key: k})
	}
	ok, err := c.cfg.Store.Commit(ctx, txn)
	if err == nil && ok {
		c.remember(ownClaim{keys, now})
		return now, nil
	}
	if err != nil && !errors.Is(err, tanagerchute.ErrOutcomeUnknown) {
		return time.Time{}, err
	}
	return c.read(ctx, keys)
}

// read returns the time of the claim stored under the first of keys that exists.
func (c *Claims) read(ctx context.Context, keys []string) (time.Time, error) {
	for _, k := range keys {
		kv, _, err := c.cfg.Store.Get(ctx, k)
		if err != nil {
			return time.Time{}, err
		}
		if kv.ModRevision == 0 {
			continue
		}
		var cl claim
		if err := json.Unmarshal(kv.Value, &cl); err != nil {
			return time.Time{}, errors.Wrap(err, "decode claim")
		}
		return cl.Issued, nil
	}
	return time.Time{}, errors.Wrap(tanagerchute.ErrUnavailable, "claim was not written")
}

// Sweep deletes the claims of the most recent day that Claim no longer searches,
// and returns how many it deleted.
func (c *Claims) Sweep(ctx context.Context, now time.Time) (int, error) {
	kvs, _, err := c.cfg.Store.List(ctx, c.dayPrefix(now.AddDate(0, 0, -claimRetentionDays)), tanagerchute.Latest)
	if err != nil {
		return 0, err
	}
	for i := 0; i < len(kvs); i += sweepBatchSize {
		var txn tanagerchute.Txn
		for _, kv := range kvs[i:min(i+sweepBatchSize, len(kvs))] {
			txn.Deletes = append(txn.Deletes, kv.Key)
		}
		if _, err := c.cfg.Store.Commit(ctx, txn); err != nil {
			return i, fmt.Errorf("sweep claims: %w", err)
		}
	}
	return len(kvs), nil
}
