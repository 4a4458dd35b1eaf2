package tokens

import (
	"slices"
	"time"
)

// overQuota is how the requests of an account over its quota are refused without asking
// its keeper, from the keeper's last answer.
type overQuota struct {
	until    time.Time     // end of the time in which they are
	last     Outcome       // of a refused request, from the keeper's last answer
	next     time.Time     // when the next refused request could return
	interval time.Duration // until a further one could
	refused  int           // requests that the keeper has not been told of
}

// refuse returns the outcome of a further request.
func (o *overQuota) refuse(now time.Time) Outcome {
	o.refused++
	o.next = latest(o.next, now).Add(o.interval)
	out := o.last
	out.RetryAfter = o.next.Sub(now)
	return out
}

// Receive handles the reply to a message. It returns the requests whose wait has
// ended.
func (h *Holder) Receive(now time.Time, keeper string, seq uint64, r Reply) []Outcome {
	sess, ok := h.sessions[keeper]
	if !ok || sess.inFlight != seq {
		return nil
	}
	sess.inFlight, sess.failures = 0, 0
	var out []Outcome
	for _, g := range r.Grants {
		s, ok := h.stocks[g.Account]
		if !ok || s.keeper != keeper && s.standby != keeper {
			continue
		}
		if s.standby == keeper {
			out = append(out, s.receiveStandby(now, sess.sentAt, g)...)
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
		s.lapse = sess.sentAt.Add(Lease)
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
	answered := Outcome{Account: s.account, Exceeded: true, Keeper: s.keeper, State: g.State, HeardAt: now}
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		if w.asked != seq && g.Wait == 0 {
			kept = append(kept, w)
			continue
		}
		if token.Before(w.until) {
			s.askAt = now.Add(g.Wait)
			w.exceeded = true
			kept = append(kept, w)
		} else {
			o := answered
			o.Ticket, o.RetryAfter = w.ticket, token.Sub(now)
			out = append(out, o)
			if w.asked != seq {
				untold++
			}
		}
		token = token.Add(g.Interval)
	}
	s.waiters = kept
	s.overQuota.last, s.overQuota.next, s.overQuota.interval = answered, token, g.Interval
	s.overQuota.refused += untold
	s.overQuota.until = earliest(now.Add(maxLocalRefusal), now.Add(g.Wait))
	return out
}

// Fail records that a message got no answer in time. A later answer is ignored.
func (h *Holder) Fail(now time.Time, keeper string, seq uint64) {
	sess, ok := h.sessions[keeper]
	if !ok || sess.inFlight != seq {
		return
	}
	sess.inFlight = 0
	sess.failures++
	retryDelay := time.Duration(0)
	if sess.failures > 1 {
		retryDelay = elsewhereDelay
	}
	for _, s := range sess.stocks {
		if s.keeper == keeper {
			s.askAt = now.Add(retryDelay)
			h.askStandby(s)
		}
	}
}

// Expire returns the requests whose wait has ended.
func (h *Holder) Expire(now time.Time) []Outcome {
	var out []Outcome
	for _, sess := range h.sessions {
		for _, s := range sess.stocks {
			s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
				if now.Before(w.until) {
					return false
				}
				o := Outcome{Account: s.account, Keeper: s.keeper}
				if w.exceeded {
					o = s.overQuota.refuse(now)
				}
				o.Ticket = w.ticket
				out = append(out, o)
				return true
			})
		}
	}
	return out
}
