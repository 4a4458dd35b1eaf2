package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/io/timer"
)

const (
	// ownClaimRetention is how long a process remembers its claims, in order to write
	// them again if the store loses them. A copy that the store restarts from is not
	// older.
	ownClaimRetention = 30 * time.Second
	maxOwnClaims      = 1024
	// rewriteBatchSize is the number of claims written in one transaction, and
	// rewritePause the pause between two transactions of one process.
	rewriteBatchSize = 50
	rewritePause     = 50 * time.Millisecond
	// eraCheckInterval is the time between two reads that show whether the store has
	// restarted, while the process remembers claims.
	eraCheckInterval = time.Second
)

// ownClaim is a claim that this process has made.
type ownClaim struct {
	keys   []string // see Claims.claimKeys, the claim is stored under the first
	issued time.Time
}

// remember adds a claim that the store has accepted.
func (c *Claims) remember(o ownClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetOld(o.issued)
	if len(c.recent) == maxOwnClaims {
		c.recent = c.recent[1:]
	}
	c.recent = append(c.recent, o)
}

// forgetOld forgets the claims that are older than ownClaimRetention. It must be called
// with c.mu held.
func (c *Claims) forgetOld(now time.Time) {
	for len(c.recent) > 0 && now.Sub(c.recent[0].issued) > ownClaimRetention {
		c.recent = c.recent[1:]
	}
}

// ownClaims returns the claims that this process remembers.
func (c *Claims) ownClaims(now time.Time) []ownClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetOld(now)
	return append([]ownClaim(nil), c.recent...)
}

// Run reads the store from time to time while this process remembers claims, until ctx
// ends. A node may make no other calls, and would not learn that the store has lost
// its claims.
func (c *Claims) Run(ctx context.Context) {
	for timer.Sleep(ctx, eraCheckInterval) {
		if len(c.ownClaims(time.Now())) > 0 {
			// Only the era of the answer matters, which the client has observed.
			_, _, _ = c.cfg.Store.Get(ctx, Prefix(c.cfg.Deployment)+"head")
		}
	}
}

// WriteAgain writes the claims of the last ownClaimRetention that the store has lost.
// Where another process has claimed the same id in the meantime, the earlier time is
// kept. It describes what it wrote, and returns an empty string for nothing.
func (c *Claims) WriteAgain(ctx context.Context) (string, error) {
	own := c.ownClaims(time.Now())
	for i := 0; i < len(own); i += rewriteBatchSize {
		if i > 0 && !timer.Sleep(ctx, rewritePause) {
			return "", ctx.Err()
		}
		if err := c.writeBatch(ctx, own[i:min(i+rewriteBatchSize, len(own))]); err != nil {
			return "", err
		}
	}
	if len(own) == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d claims", len(own)), nil
}

// writeBatch writes claims in one transaction if the store has lost all of them, and
// otherwise one by one.
func (c *Claims) writeBatch(ctx context.Context, claims []ownClaim) error {
	var txn tanagerchute.Txn
	for _, o := range claims {
		value, err := o.encode()
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, tanagerchute.Put{Key: o.keys[0], Value: value})
		for _, k := range o.keys {
			txn.Conds = append(txn.Conds, tanagerchute.Cond{Key: k})
		}
	}
	if ok, err := c.cfg.Store.Commit(ctx, txn); ok || err != nil {
		return err
	}
	for _, o := range claims {
		if err := c.writeEarlier(ctx, o); err != nil {
			return err
		}
	}
	return nil
}

// encode returns the stored value of o.
func (o ownClaim) encode() ([]byte, error) {
	value, err := json.Marshal(claim{Issued: o.issued})
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	return value, nil
}

// writeEarlier writes o unless the store has a claim that was made as early.
func (c *Claims) writeEarlier(ctx context.Context, o ownClaim) error {
	kv, revision, err := c.cfg.Store.Get(ctx, o.keys[0])
	if err != nil {
		return err
	}
	var stored claim
	if kv.ModRevision != 0 {
		if err := json.Unmarshal(kv.Value, &stored); err != nil {
			return errors.Wrap(err, "decode claim")
		}
		if !stored.Issued.After(o.issued) {
			return nil
		}
	}
	value, err := o.encode()
	if err != nil {
		return err
	}
	ok, err := c.cfg.Store.Commit(ctx, tanagerchute.Txn{
		Era:   revision.Era,
		Conds: []tanagerchute.Cond{{Key: o.keys[0], ModRevision: kv.ModRevision}},
		Puts:  []tanagerchute.Put{{Key: o.keys[0], Value: value}},
	})
	if err == nil && !ok {
		return errors.Wrap(tanagerchute.ErrUnavailable, "claim was written by another process")
	}
	return err
}
