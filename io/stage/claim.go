package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/canary"
	"tanagerchute/core/event"
	"tanagerchute/io/timer"
)

// maxRank is the number of readers that claim one after the other. The others claim with
// the delay of this rank.
const maxRank = 3

// errClaimLost means that another node holds the roll-out.
var errClaimLost = errors.New("another node holds the roll-out")

// record is the stored state of a roll-out.
type record struct {
	Stage      canary.Stage `json:"stage"`
	WithinMs   int64        `json:"within_ms"`   // of the order, to tell another order of the same revision apart
	DeadlineMs int64        `json:"deadline_ms"` // of the order, Unix milliseconds
}

// claim is a claim in the store.
type claim struct {
	lease    tanagerchute.Lease
	revision int64     // of the claim's key
	until    time.Time // when the holder stops deciding unless it has renewed the lease
}

func (m *Manager) claimKey(service string) string { return m.cfg.Prefix + "claim/" + service }

func (m *Manager) recordKey(service string) string { return m.cfg.Prefix + "state/" + service }

// claimDue reports whether this node should claim the roll-out: no holder has been heard of
// for long enough, and the readers of lower rank have had the time to claim it.
func (h *hold) claimDue(now, since time.Time) bool {
	view := h.m.cfg.Fleet.View()
	rank := view.GroupReaderRank(maxRank)
	if rank < 0 {
		rank = maxRank
	}
	if !h.m.cfg.Fleet.HasQuorum(now) {
		return false
	}
	quiet := time.Duration(rank) * claimRankDelay
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if s, ok := h.m.table.Stage(h.order.Service); ok && s.Order == h.order.ID && s.Holder != "" && !s.Phase.Ended() {
		quiet += holderSilence
		if by := h.m.table.ConfirmedBy(h.order.Service); by.After(since) {
			since = by
		}
	}
	return now.Sub(since) >= quiet
}

// claim tries to claim the roll-out. It succeeds only if nobody has claimed it.
func (h *hold) claim(ctx context.Context) (claim, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m, key := h.m, h.m.claimKey(h.order.Service)
	kv, _, err := m.cfg.Store.Get(ctx, key)
	if err != nil || kv.ModRevision != 0 {
		return claim{}, false
	}
	grantedAt := time.Now()
	lease, err := m.cfg.Store.Grant(ctx, claimTTL)
	if err != nil {
		return claim{}, false
	}
	self := m.cfg.Fleet.View().Self
	put := tanagerchute.Put{Key: key, Value: []byte(self.ID), Lease: lease}
	_, err = m.cfg.Store.Commit(ctx, tanagerchute.Txn{Era: lease.Era, Conds: []tanagerchute.Cond{{Key: key}}, Puts: []tanagerchute.Put{put}})
	if err != nil && !errors.Is(err, tanagerchute.ErrOutcomeUnknown) {
		return claim{}, false
	}
	kv, rev, err := m.cfg.Store.Get(ctx, key)
	if err != nil || kv.Lease != lease.ID || kv.ModRevision == 0 || rev.Era != lease.Era {
		return claim{}, false
	}
	m.recordEvent(time.Now(), event.RolloutClaimed, h.order.Service, fmt.Sprintf("version %s, lease %d", h.order.Target, lease.ID))
	return claim{lease: lease, revision: kv.ModRevision, until: grantedAt.Add(claimTTL - claimMargin)}, true
}

// readRecord reads the stored state of the order. ok is false if there is none.
func (h *hold) readRecord(ctx context.Context) (rec record, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, _, err := h.m.cfg.Store.Get(ctx, h.m.recordKey(h.order.Service))
	if err != nil || kv.ModRevision == 0 {
		return record{}, false, err
	}
	if err := json.Unmarshal(kv.Value, &rec); err != nil || !rec.Stage.Validate() {
		h.m.recordEvent(time.Now(), event.RolloutRefused, h.order.Service, "the stored state can't be read and is replaced")
		return record{}, false, nil
	}
	same := rec.Stage.Order.Revision == h.order.ID.Revision && rec.Stage.Target == h.order.Target && rec.WithinMs == h.order.Within.Milliseconds()
	return rec, same, nil
}

// write stores a stage with the status of the roll-out, on condition that the claim is
// still this node's.
func (h *hold) write(ctx context.Context, c claim, s canary.Stage) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(record{Stage: s, WithinMs: h.order.Within.Milliseconds(), DeadlineMs: h.order.Deadline.UnixMilli()})
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	statusKey, status, err := h.m.cfg.Format.FormatStatus(s)
	if err != nil {
		return errors.Wrap(err, "encode status")
	}
	ok, err := h.m.cfg.Store.Commit(ctx, tanagerchute.Txn{
		Era:   c.lease.Era,
		Conds: []tanagerchute.Cond{{Key: h.m.claimKey(s.Service), ModRevision: c.revision}},
		Puts:  []tanagerchute.Put{{Key: h.m.recordKey(s.Service), Value: value}, {Key: statusKey, Value: status}},
	})
	switch {
	case errors.Is(err, tanagerchute.ErrOutcomeUnknown):
		if rec, same, readErr := h.readRecord(ctx); readErr == nil && same && rec.Stage == s {
			return nil
		}
		return err
	case err != nil:
		return err
	case !ok:
		return errClaimLost
	}
	return nil
}

// release ends the lease of a claim.
func (h *hold) release(c claim) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := h.m.cfg.Store.Revoke(ctx, c.lease); err != nil && !errors.Is(err, tanagerchute.ErrLeaseExpired) {
		h.m.recordEvent(time.Now(), event.RolloutClaimLost, h.order.Service, "the claim could not be given up, it ends with its lease: "+err.Error())
	}
}

// renew renews the lease of a claim. It calls lost when that has ended.
func (h *hold) renew(ctx context.Context, c claim, lost func()) {
	for timer.Sleep(ctx, renewInterval) {
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := h.m.cfg.Store.KeepAlive(callCtx, c.lease)
		cancel()
		if err == nil {
			h.m.mu.Lock()
			h.claimedUntil = sentAt.Add(claimTTL - claimMargin)
			h.m.mu.Unlock()
			continue
		}
		if errors.Is(err, tanagerchute.ErrLeaseExpired) {
			h.m.recordEvent(time.Now(), event.RolloutClaimLost, h.order.Service, err.Error())
			lost()
			return
		}
	}
}
