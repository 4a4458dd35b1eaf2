package gate

import (
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
)

// Inquire returns the outcome of an attempt. An attempt that has not started is
// fenced, so that it can't start later.
func (g *Gate) Inquire(q dedup.Inquiry) (dedup.Verdict, dedup.Answer) {
	v, a := g.records.Inquire(q)
	if v == dedup.Fenced {
		g.recordEvent(event.RequestFenced, q.Key.ID, "an inquiry about it arrived before it had started")
	}
	return v, a
}
