package tokens

import (
	"math"
	"slices"
	"time"
)

const (
	// batchInterval is the shortest time between two messages to a keeper.
	batchInterval = 20 * time.Millisecond
	// refillInterval is the shortest time between two messages to a keeper while no
	// request waits.
	refillInterval = 200 * time.Millisecond
	// renewBefore is how long before they lapse the tokens of a node are renewed.
	renewBefore = Lease / 2
	// demandPeriod is the time over which the demand of a node is averaged, and whose
	// demand it holds tokens for.
	demandPeriod = time.Second
	// elsewhereDelay is the time after which a node asks again that took another one for
	// the keeper than that itself, or whose keeper has failed to answer repeatedly.
	elsewhereDelay = 50 * time.Millisecond
	// standbyDelay is the time without an answer of the keeper after which the standby
	// is asked for the tokens of the requests that wait.
	standbyDelay = 30 * time.Millisecond
	// closedFor is the longest time for which a node refuses the requests of an account
	// over its quota by the same word of the keeper. It asks again before, after
	// refillInterval.
	closedFor = 400 * time.Millisecond
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
	stocks     map[string]*stock // by account
	lines      map[string]*line  // by keeper
	seq        uint64            // of the last message
	stints     uint64            // number of stints so far
	tickets    uint64            // number of waiting requests so far
}

// stock is what the node has of one account.
type stock struct {
	account string
	keeper  string
	standby string // member that is asked too, since the keeper has not answered
	stint   uint64
	spent   int64
	held    int
	lapse   time.Time // when the held tokens lapse
	waiters []waiter  // oldest first
	askAt   time.Time // when tokens for them may be asked for
	returns bool      // tokens were given back since the last message
	demand  demand
	closed  closed
}

// closed is the time in which the requests of an account over its quota are refused
// without asking its keeper.
type closed struct {
	until    time.Time
	last     Outcome       // by the word of the keeper
	next     time.Time     // when the next refused request could return
	interval time.Duration // until a further one could
	refused  int           // requests that the keeper has not been told of
}

// waiter is a request that waits for a token.
type waiter struct {
	ticket uint64
	until  time.Time
	asked  uint64 // message that asked for its token, 0 if none
	told   bool   // the keeper has said that the quota is exceeded
}

// line is the state of the messages to one keeper.
type line struct {
	inFlight uint64 // message that is not answered, 0 if none
	sentAt   time.Time
	failures int               // messages without an answer since the last answer
	stocks   map[string]*stock // those with something to say
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
	// not granted got no word of the keeper in time.
	Exceeded   bool
	RetryAfter time.Duration // if Exceeded
	Keeper     string
	Word       Word      // of the keeper, if Exceeded
	HeardAt    time.Time // when it was received
}

// NewHolder returns a holder without tokens.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{cfg: cfg, stocks: map[string]*stock{}, lines: map[string]*line{}}
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
	told := now.Before(s.closed.until) || len(s.waiters) > 0 && s.waiters[0].told
	if told && !s.closed.next.Before(until) {
		return s.closed.refuse(now), true
	}
	if told {
		s.closed.next = s.closed.next.Add(s.closed.interval)
	}
	h.tickets++
	s.waiters = append(s.waiters, waiter{ticket: h.tickets, until: until, told: told})
	return Outcome{Account: account, Ticket: h.tickets}, false
}

// refuse returns the outcome of a further request.
func (c *closed) refuse(now time.Time) Outcome {
	c.refused++
	c.next = latest(c.next, now).Add(c.interval)
	o := c.last
	o.RetryAfter = c.next.Sub(now)
	return o
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
	for id := range h.lines {
		if !slices.Contains(h.candidates, id) {
			delete(h.lines, id)
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
	s.closed = closed{}
	for i := range s.waiters {
		s.waiters[i].asked, s.waiters[i].told = 0, false
	}
	if s.held > 0 || len(s.waiters) > 0 {
		h.activate(s)
	}
}

// activate includes s in the next message to its keeper.
func (h *Holder) activate(s *stock) { h.line(s.keeper).stocks[s.account] = s }

// deactivate leaves s out of the messages to its keeper and to the standby.
func (h *Holder) deactivate(s *stock) {
	for _, id := range []string{s.keeper, s.standby} {
		if l, ok := h.lines[id]; ok {
			delete(l.stocks, s.account)
		}
	}
}

// askStandby includes s in the next message to the standby of its keeper, if requests
// wait and the standby is not asked yet.
func (h *Holder) askStandby(s *stock) {
	if len(s.waiters) == 0 || s.standby != "" {
		return
	}
	s.standby = standbyOf(s.account, h.candidates)
	if s.standby != "" {
		h.line(s.standby).stocks[s.account] = s
	}
}

// leaveStandby ends the messages to the standby about s.
func (h *Holder) leaveStandby(s *stock) {
	if l, ok := h.lines[s.standby]; ok {
		delete(l.stocks, s.account)
	}
	s.standby = ""
}

// askStandbys asks the standbys of the keepers that have not answered for a while.
func (h *Holder) askStandbys(now time.Time) {
	for id, l := range h.lines {
		if l.inFlight == 0 || now.Before(l.sentAt.Add(standbyDelay)) {
			continue
		}
		for _, s := range l.stocks {
			if s.keeper == id {
				h.askStandby(s)
			}
		}
	}
}

// line returns the state of the messages to a keeper.
func (h *Holder) line(keeper string) *line {
	l, ok := h.lines[keeper]
	if !ok {
		l = &line{stocks: map[string]*stock{}}
		h.lines[keeper] = l
	}
	return l
}

// Due returns the messages to be sent at now.
func (h *Holder) Due(now time.Time) []Message {
	h.askStandbys(now)
	var out []Message
	for id, l := range h.lines {
		if at := h.dueAt(id, l); at.IsZero() || now.Before(at) {
			continue
		}
		if m := h.message(now, id, l); len(m.Asks) > 0 {
			out = append(out, m)
		}
	}
	return out
}

// dueAt returns when the next message to a keeper is due, zero if none is.
func (h *Holder) dueAt(id string, l *line) time.Time {
	if l.inFlight != 0 || id == "" {
		return time.Time{}
	}
	var due time.Time
	for _, s := range l.stocks {
		if s.keeper == id {
			due = earliest(due, s.dueAt(l))
		} else if len(s.waiters) > 0 {
			due = earliest(due, l.sentAt.Add(elsewhereDelay))
		}
	}
	if !due.IsZero() && id != h.cfg.Self {
		due = latest(due, l.sentAt.Add(batchInterval))
	}
	return due
}

// dueAt returns when a message about s is due, zero if none is. Tokens are asked for
// ahead when half of them are spent. What is spent otherwise need not be reported: the
// keeper counts it as held until it expires.
func (s *stock) dueAt(l *line) time.Time {
	target := s.target(l.sentAt)
	switch {
	case len(s.waiters) > 0:
		return latest(s.askAt, l.sentAt)
	case s.returns, s.closed.refused > 0:
		return latest(l.sentAt.Add(refillInterval), s.askAt)
	case target == 0:
		return time.Time{}
	case 2*s.held <= target:
		return latest(l.sentAt.Add(refillInterval), s.askAt)
	}
	return s.lapse.Add(-renewBefore)
}

// target returns the number of tokens that the node should hold.
func (s *stock) target(now time.Time) int { return max(int(math.Round(s.demand.perPeriod(now)-1)), 0) }

// message returns the message to a keeper, which is in flight then.
func (h *Holder) message(now time.Time, id string, l *line) Message {
	h.seq++
	m := Message{From: h.cfg.Self, To: id, Seq: h.seq}
	for account, s := range l.stocks {
		s.expire(now)
		if s.keeper != id {
			if len(s.waiters) == 0 {
				h.leaveStandby(s)
			} else {
				m.Asks = append(m.Asks, Ask{Account: account, Stint: s.stint, Spent: s.spent, Held: s.held, Needed: len(s.waiters)})
			}
			continue
		}
		if len(s.waiters) == 0 && s.held == 0 && !s.returns && s.closed.refused == 0 && s.target(now) == 0 {
			delete(l.stocks, account)
			continue
		}
		m.Asks = append(m.Asks, s.ask(now, h.seq))
	}
	if len(m.Asks) > 0 {
		l.inFlight, l.sentAt = h.seq, now
	}
	return m
}

// ask returns what the message seq says about s. Tokens beyond the demand are given
// up.
func (s *stock) ask(now time.Time, seq uint64) Ask {
	target := s.target(now)
	if s.held > 2*target {
		s.held = target
	}
	needed := 0
	if !now.Before(s.askAt) {
		needed = len(s.waiters)
		for i := range s.waiters {
			s.waiters[i].asked = seq
		}
	}
	s.returns = false
	refused := s.closed.refused
	s.closed.refused = 0
	if refused > 0 {
		target = max(target, 1) // to learn when the account is below its quota again
	}
	return Ask{
		Account: s.account, Stint: s.stint, Spent: s.spent, Held: s.held,
		Needed: needed, Ahead: max(target-s.held, 0), Refused: refused,
	}
}

// Receive handles the reply to a message. It returns the requests whose wait has
// ended.
func (h *Holder) Receive(now time.Time, keeper string, seq uint64, r Reply) []Outcome {
	l, ok := h.lines[keeper]
	if !ok || l.inFlight != seq {
		return nil
	}
	l.inFlight, l.failures = 0, 0
	var out []Outcome
	for _, g := range r.Grants {
		s, ok := h.stocks[g.Account]
		if !ok || s.keeper != keeper && s.standby != keeper {
			continue
		}
		if s.standby == keeper {
			out = append(out, s.receiveStandby(now, l.sentAt, g)...)
			continue
		}
		if g.Elsewhere && g.Tokens == 0 {
			s.askAt = now.Add(elsewhereDelay)
			h.askStandby(s)
			continue
		}
		h.leaveStandby(s)
		s.expire(now)
		s.held += g.Tokens
		s.lapse = l.sentAt.Add(Lease)
		s.expire(now)
		out = append(out, s.serve()...)
		out = append(out, s.refuse(now, seq, g)...)
	}
	return out
}

// receiveStandby handles what the standby has granted in reply to a message sent at
// sentAt.
func (s *stock) receiveStandby(now, sentAt time.Time, g Grant) []Outcome {
	if g.Tokens == 0 {
		return nil
	}
	s.expire(now)
	s.held += g.Tokens
	s.lapse = latest(s.lapse, sentAt.Add(Lease))
	out := s.serve()
	for i := range out {
		out[i].Standby, out[i].Keeper = true, s.keeper
	}
	return out
}

// serve spends the held tokens for the requests that wait.
func (s *stock) serve() []Outcome {
	n := min(s.held, len(s.waiters))
	out := make([]Outcome, 0, n)
	for _, w := range s.waiters[:n] {
		out = append(out, Outcome{Ticket: w.ticket, Account: s.account, Granted: true, Permit: s.spend()})
	}
	s.waiters = slices.Delete(s.waiters, 0, n)
	return out
}

// refuse ends the wait of requests after the reply to the message seq, if no token is
// expected in time. Requests that have arrived since then are behind those that it asked
// for.
func (s *stock) refuse(now time.Time, seq uint64, g Grant) []Outcome {
	var out []Outcome
	untold := 0              // refused requests that the keeper does not know of
	token := now.Add(g.Wait) // when the next one is expected
	s.askAt = now
	word := Outcome{Account: s.account, Exceeded: true, Keeper: s.keeper, Word: g.Word, HeardAt: now}
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		if w.asked != seq && g.Wait == 0 {
			kept = append(kept, w)
			continue
		}
		if token.Before(w.until) {
			s.askAt = now.Add(g.Wait)
			w.told = true
			kept = append(kept, w)
		} else {
			o := word
			o.Ticket, o.RetryAfter = w.ticket, token.Sub(now)
			out = append(out, o)
			if w.asked != seq {
				untold++
			}
		}
		token = token.Add(g.Interval)
	}
	s.waiters = kept
	s.closed.last, s.closed.next, s.closed.interval = word, token, g.Interval
	s.closed.refused += untold
	s.closed.until = earliest(now.Add(closedFor), now.Add(g.Wait))
	return out
}

// Fail records that a message got no answer in time. A later answer is ignored.
func (h *Holder) Fail(now time.Time, keeper string, seq uint64) {
	l, ok := h.lines[keeper]
	if !ok || l.inFlight != seq {
		return
	}
	l.inFlight = 0
	l.failures++
	retryDelay := time.Duration(0)
	if l.failures > 1 {
		retryDelay = elsewhereDelay
	}
	for _, s := range l.stocks {
		if s.keeper == keeper {
			s.askAt = now.Add(retryDelay)
			h.askStandby(s)
		}
	}
}

// Expire returns the requests whose wait has ended.
func (h *Holder) Expire(now time.Time) []Outcome {
	var out []Outcome
	for _, l := range h.lines {
		for _, s := range l.stocks {
			s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
				if now.Before(w.until) {
					return false
				}
				o := Outcome{Account: s.account, Keeper: s.keeper}
				if w.told {
					o = s.closed.refuse(now)
				}
				o.Ticket = w.ticket
				out = append(out, o)
				return true
			})
		}
	}
	return out
}

// Next returns when Due or Expire have something to return, zero if never.
func (h *Holder) Next() time.Time {
	var next time.Time
	for id, l := range h.lines {
		next = earliest(next, h.dueAt(id, l))
		for _, s := range l.stocks {
			if l.inFlight != 0 && s.keeper == id && s.standby == "" && len(s.waiters) > 0 {
				next = earliest(next, l.sentAt.Add(standbyDelay))
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

// demand is the average number of requests in demandPeriod.
type demand struct {
	value float64
	at    time.Time // when value was valid
}

// add counts n requests.
func (d *demand) add(now time.Time, n float64) {
	d.value = d.perPeriod(now) + n
	d.at = now
}

// perPeriod returns the average, in which older requests count less.
func (d *demand) perPeriod(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(demandPeriod))
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
