package tokens

import (
	"maps"
	"time"
)

// askStandby includes s in the next message to the standby of its keeper, if requests
// wait and the standby is not asked yet.
func (h *Holder) askStandby(s *stock) {
	if len(s.waiters) == 0 || s.standby != "" {
		return
	}
	s.standby = standbyOf(s.account, h.candidates)
	if s.standby != "" {
		h.session(s.standby).stocks[s.account] = s
	}
}

// leaveStandby ends the messages to the standby about s.
func (h *Holder) leaveStandby(s *stock) {
	if sess, ok := h.sessions[s.standby]; ok {
		delete(sess.stocks, s.account)
	}
	s.standby = ""
}

// askStandbys asks the standbys of the keepers that have not answered for a while.
func (h *Holder) askStandbys(now time.Time) {
	for id, sess := range h.sessions {
		if sess.inFlight == 0 || now.Before(sess.sentAt.Add(standbyDelay)) {
			continue
		}
		for _, s := range sess.stocks {
			if s.keeper == id {
				h.askStandby(s)
			}
		}
	}
}

// reserve is what this node may grant of an account as the standby of its keeper. It
// is a part of the tolerance, since the keeper may grant tokens at the same time.
type reserve struct {
	level     float64
	updatedAt time.Time
}

// takeReserve returns the tokens that this node grants as the standby of the keeper,
// which may not have answered the node that asks.
func (k *Keeper) takeReserve(now time.Time, a Ask, p plan) int {
	if standbyOf(a.Account, k.members.Candidates) != k.cfg.Self {
		return 0
	}
	if p.rate <= 0 {
		return a.Needed
	}
	r := k.reserve(now, a.Account, p)
	n := max(min(a.Needed, int(r.level)), 0)
	r.level -= float64(n)
	return n
}

// reserve returns the reserve of an account, which fills within a window.
func (k *Keeper) reserve(now time.Time, account string, p plan) *reserve {
	r, ok := k.reserves[account]
	if !ok {
		r = &reserve{level: p.initial, updatedAt: now}
		k.reserves[account] = r
	}
	if passed := now.Sub(r.updatedAt); passed > 0 {
		r.level = min(r.level+p.initial*passed.Seconds()/k.cfg.Bounds.Window.Seconds(), p.initial)
		r.updatedAt = now
	}
	return r
}

// forgetReserves drops the reserves that are full again.
func (k *Keeper) forgetReserves(now time.Time) {
	maps.DeleteFunc(k.reserves, func(_ string, r *reserve) bool { return now.Sub(r.updatedAt) >= k.cfg.Bounds.Window })
}
