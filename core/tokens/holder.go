package tokens

import (
	"slices"
	"time"
)

const (
	// batchInterval is the shortest time between two messages to a keeper.
	batchInterval = 20 * time.Millisecond
	// refillInterval is the shortest time between two messages to a keeper while no
	// request waits.
	refillInterval = 200 * time.Millisecond
	// renewBefore is how long before the tokens of a node lapse it asks to keep them.
	renewBefore = Lease / 2
	// demandPeriod is the time over which the demand of a node is averaged, and whose
	// demand it holds tokens for.
	demandPeriod = time.Second
	// elsewhereDelay is the pause before a node asks again, after the node that it asked has
	// replied that it is not the keeper, or has failed to answer repeatedly.
	elsewhereDelay = 50 * time.Millisecond
	// standbyDelay is the time without an answer of the keeper after which the standby
	// is asked for the tokens of the requests that wait.
	standbyDelay = 30 * time.Millisecond
	// maxLocalRefusal is the longest time for which a node refuses the requests of an account
	// over its quota on the ground of one answer of the keeper. The node asks again earlier,
	// after refillInterval.
	maxLocalRefusal = 400 * time.Millisecond
	// forgetAfter is when an account is forgotten that no request came for.
	forgetAfter = time.Minute
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	Self string // id of this node
}

// Holder holds the tokens of a node.
type Holder struct {
	cfg        HolderConfig
	candidates []string
	stocks     map[string]*stock   // by account
	sessions   map[string]*session // by keeper
	seq        uint64              // of the last message
	stints     uint64              // number of stints so far
	tickets    uint64              // number of waiting requests so far
}

// stock is what the node has of one account.
type stock struct {
	account   string
	keeper    string
	standby   string // member that is asked too, since the keeper has not answered
	stint     uint64 // see Ask.Stint
	spent     int64  // see Ask.Spent
	held      int
	lapse     time.Time // when the held tokens lapse
	waiters   []waiter  // oldest first
	askAt     time.Time // when tokens for them may be asked for
	returns   bool      // tokens were given back since the last message
	demand    demand
	overQuota overQuota
}

// waiter is a request that waits for a token.
type waiter struct {
	ticket   uint64
	until    time.Time
	asked    uint64 // message that asked for its token, 0 if none
	exceeded bool   // the keeper has answered that the quota is exceeded
}

// Permit is the spent token of a request.
type Permit struct {
	Account string
	stint   uint64
}

// Outcome is what became of a request that waited for a token.
type Outcome struct {
	Ticket  uint64
	Account string
	Granted bool
	Permit  Permit // if Granted
	Standby bool   // granted by the standby of the keeper
	// Exceeded reports that the account is over its quota. Otherwise a request that is
	// not granted got no answer of the keeper in time.
	Exceeded   bool
	RetryAfter time.Duration // if Exceeded
	Keeper     string
	State      BucketState // of the keeper, if Exceeded
	HeardAt    time.Time   // when it was received
}

// NewHolder returns a holder without tokens.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{cfg: cfg, stocks: map[string]*stock{}, sessions: map[string]*session{}}
}

// Admit handles a request that arrives at now. It returns its outcome and true, or
// false if it waits for a token until the given time, under the ticket in the outcome.
func (h *Holder) Admit(now time.Time, account string, until time.Time) (Outcome, bool) {
	s := h.stock(now, account)
	s.demand.add(now, 1)
	s.expire(now)
	h.activate(s)
	if s.held > 0 && len(s.waiters) == 0 {
		return Outcome{Account: account, Granted: true, Permit: s.spend()}, true
	}
	exceeded := now.Before(s.overQuota.until) || len(s.waiters) > 0 && s.waiters[0].exceeded
	if exceeded && !s.overQuota.next.Before(until) {
		return s.overQuota.refuse(now), true
	}
	if exceeded {
		s.overQuota.next = s.overQuota.next.Add(s.overQuota.interval)
	}
	h.tickets++
	s.waiters = append(s.waiters, waiter{ticket: h.tickets, until: until, exceeded: exceeded})
	return Outcome{Account: account, Ticket: h.tickets}, false
}

// GiveBack gives back the token of a request that has not run.
func (h *Holder) GiveBack(p Permit) {
	s, ok := h.stocks[p.Account]
	if !ok || s.stint != p.stint {
		return // the keeper has changed
	}
	s.spent--
	s.returns = true
	h.activate(s)
}

// Forget ends the wait of a request, whose caller has left.
func (h *Holder) Forget(account string, ticket uint64) {
	if s, ok := h.stocks[account]; ok {
		s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool { return w.ticket == ticket })
	}
}

// SetMembers sets the members among which the keepers are chosen.
func (h *Holder) SetMembers(now time.Time, m Members) {
	if slices.Equal(m.Candidates, h.candidates) {
		return
	}
	h.candidates = m.Candidates
	for account, s := range h.stocks {
		if now.Sub(s.demand.at) > forgetAfter && len(s.waiters) == 0 {
			h.deactivate(s)
			delete(h.stocks, account)
			continue
		}
		h.assign(now, s)
	}
	for id := range h.sessions {
		if !slices.Contains(h.candidates, id) {
			delete(h.sessions, id)
		}
	}
}

// stock returns the stock of an account.
func (h *Holder) stock(now time.Time, account string) *stock {
	s, ok := h.stocks[account]
	if !ok {
		s = &stock{account: account}
		h.stocks[account] = s
		h.assign(now, s)
	}
	return s
}

// assign sets the keeper of s.
func (h *Holder) assign(now time.Time, s *stock) {
	h.leaveStandby(s) // it may be another one now
	keeper := keeperOf(s.account, h.candidates)
	if keeper == s.keeper && s.stint > 0 {
		return
	}
	h.deactivate(s)
	h.stints++
	s.stint = h.stints
	s.keeper = keeper
	s.askAt = now
	s.overQuota = overQuota{}
	for i := range s.waiters {
		s.waiters[i].asked, s.waiters[i].exceeded = 0, false
	}
	if s.held > 0 || len(s.waiters) > 0 {
		h.activate(s)
	}
}

// activate includes s in the next message to its keeper.
func (h *Holder) activate(s *stock) { h.session(s.keeper).stocks[s.account] = s }

// deactivate leaves s out of the messages to its keeper and to the standby.
func (h *Holder) deactivate(s *stock) {
	for _, id := range []string{s.keeper, s.standby} {
		if sess, ok := h.sessions[id]; ok {
			delete(sess.stocks, s.account)
		}
	}
}

// Next returns when Due or Expire have something to return, zero if never.
func (h *Holder) Next() time.Time {
	var next time.Time
	for id, sess := range h.sessions {
		next = earliest(next, h.dueAt(id, sess))
		for _, s := range sess.stocks {
			if sess.inFlight != 0 && s.keeper == id && s.standby == "" && len(s.waiters) > 0 {
				next = earliest(next, sess.sentAt.Add(standbyDelay))
			}
			for _, w := range s.waiters {
				next = earliest(next, w.until)
			}
		}
	}
	return next
}

// spend spends a held token.
func (s *stock) spend() Permit {
	s.held--
	s.spent++
	return Permit{Account: s.account, stint: s.stint}
}

// expire drops the tokens that have lapsed.
func (s *stock) expire(now time.Time) {
	if s.held > 0 && !now.Before(s.lapse) {
		s.held = 0
	}
}

// The wait of a request for a token is bounded by maxWait, and by the waitDivisor-th part
// of the time until it should be answered, so that its caller can still come back in time.
const (
	maxWait     = 250 * time.Millisecond
	waitDivisor = 4
)

// WaitUntil returns until when a request that arrives at now may wait for a token.
// target is when it should be answered.
func WaitUntil(now, target time.Time) time.Time {
	return now.Add(max(min(target.Sub(now)/waitDivisor, maxWait), 0))
}

// earliest returns the earlier of two times, ignoring a zero time.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
