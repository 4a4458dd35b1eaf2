package tokens

import (
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
