package tokens

import (
	"math"
	"time"
)

// session is the state of the messages to one keeper.
type session struct {
	inFlight uint64 // message that is not answered, 0 if none
	sentAt   time.Time
	failures int               // messages without an answer since the last answer
	stocks   map[string]*stock // those with something to say
}

// session returns the state of the messages to a keeper.
func (h *Holder) session(keeper string) *session {
	sess, ok := h.sessions[keeper]
	if !ok {
		sess = &session{stocks: map[string]*stock{}}
		h.sessions[keeper] = sess
	}
	return sess
}

// Due returns the messages to be sent at now.
func (h *Holder) Due(now time.Time) []Message {
	h.askStandbys(now)
	var out []Message
	for id, sess := range h.sessions {
		if at := h.dueAt(id, sess); at.IsZero() || now.Before(at) {
			continue
		}
		if m := h.message(now, id, sess); len(m.Asks) > 0 {
			out = append(out, m)
		}
	}
	return out
}

// dueAt returns when the next message to a keeper is due, zero if none is.
func (h *Holder) dueAt(id string, sess *session) time.Time {
	if sess.inFlight != 0 || id == "" {
		return time.Time{}
	}
	var due time.Time
	for _, s := range sess.stocks {
		if s.keeper == id {
			due = earliest(due, s.dueAt(sess))
		} else if len(s.waiters) > 0 {
			due = earliest(due, sess.sentAt.Add(elsewhereDelay))
		}
	}
	if !due.IsZero() && id != h.cfg.Self {
		due = latest(due, sess.sentAt.Add(batchInterval))
	}
	return due
}

// dueAt returns when a message about s is due, zero if none is. Tokens are asked for
// ahead when half of them are spent. What is spent otherwise need not be reported: the
// keeper counts it as held until it expires.
func (s *stock) dueAt(sess *session) time.Time {
	target := s.target(sess.sentAt)
	switch {
	case len(s.waiters) > 0:
		return latest(s.askAt, sess.sentAt)
	case s.returns, s.overQuota.refused > 0:
		return latest(sess.sentAt.Add(refillInterval), s.askAt)
	case target == 0:
		return time.Time{}
	case 2*s.held <= target:
		return latest(sess.sentAt.Add(refillInterval), s.askAt)
	}
	return s.lapse.Add(-renewBefore)
}

// target returns the number of tokens that the node should hold.
func (s *stock) target(now time.Time) int { return max(int(math.Round(s.demand.perPeriod(now)-1)), 0) }

// message returns the message to a keeper, which is in flight then.
func (h *Holder) message(now time.Time, id string, sess *session) Message {
	h.seq++
	m := Message{From: h.cfg.Self, To: id, Seq: h.seq}
	for account, s := range sess.stocks {
		s.expire(now)
		if s.keeper != id {
			if len(s.waiters) == 0 {
				h.leaveStandby(s)
			} else {
				m.Asks = append(m.Asks, Ask{Account: account, Stint: s.stint, Spent: s.spent, Held: s.held, Needed: len(s.waiters)})
			}
			continue
		}
		if len(s.waiters) == 0 && s.held == 0 && !s.returns && s.overQuota.refused == 0 && s.target(now) == 0 {
			delete(sess.stocks, account)
			continue
		}
		m.Asks = append(m.Asks, s.ask(now, h.seq))
	}
	if len(m.Asks) > 0 {
		sess.inFlight, sess.sentAt = h.seq, now
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
	refused := s.overQuota.refused
	s.overQuota.refused = 0
	if refused > 0 {
		target = max(target, 1) // to learn when the account is below its quota again
	}
	return Ask{
		Account: s.account, Stint: s.stint, Spent: s.spent, Held: s.held,
		Needed: needed, Ahead: max(target-s.held, 0), Refused: refused,
	}
}
