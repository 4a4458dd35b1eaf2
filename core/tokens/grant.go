package tokens

import (
	"slices"
	"time"
)

// closed is the time in which the requests of an account over its quota are refused
// without asking its keeper.
type closed struct {
	until    time.Time
	last     Outcome       // by the word of the keeper
	next     time.Time     // when the next refused request could return
	interval time.Duration // until a further one could
	refused  int           // requests that the keeper has not been told of
}

// refuse returns the outcome of a further request.
func (c *closed) refuse(now time.Time) Outcome {
	c.refused++
	c.next = latest(c.next, now).Add(c.interval)
	o := c.last
	o.RetryAfter = c.next.Sub(now)
	return o
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
