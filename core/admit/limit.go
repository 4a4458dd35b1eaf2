package admit

import (
	"time"

	"tanagerchute/core/quota"
)

// ObserveLimit takes in what an answer of the server says about its rate limit, and
// returns the queued calls that are refused as a result. changed reports whether the
// limit changed.
func (c *Controller) ObserveLimit(a quota.Answer) (changed bool, out Dequeued) {
	if !c.quota.Observe(a) {
		return false, Dequeued{}
	}
	return true, Dequeued{Refused: c.trimQueue(a.ReceivedAt)}
}

// AdoptLimit takes over a rate limit that another node heard of at heardAt, see
// quota.Limiter.Adopt. It reports whether the limit changed.
func (c *Controller) AdoptLimit(now time.Time, rate float64, heardAt time.Time) bool {
	return c.quota.Adopt(now, rate, heardAt)
}

// Quota returns the rate limit of the server.
func (c *Controller) Quota() *quota.Limiter { return &c.quota }

// QuotaWait returns how long a call that is offered at now would wait for its turn
// under the rate limit.
func (c *Controller) QuotaWait(now time.Time) time.Duration {
	return c.quota.Wait(now, c.queue.len())
}

// capacity returns the number of calls that the server can have in flight under its
// slots and its rate limit.
func (c *Controller) capacity() float64 {
	slots := float64(c.Limit())
	rate, limited := c.quota.Rate()
	if !limited {
		return slots
	}
	return min(slots, rate*c.holdTime.Seconds())
}

// overloadCause returns the cause of a refusal because of load: the rate limit if a
// call waits longer for its turn under it than for a slot.
func (c *Controller) overloadCause(now time.Time) Cause {
	if c.QuotaWait(now) > c.estimateSlotWait(now, lastInQueue, c.queue.backlog()) {
		return CauseRateLimit
	}
	return CauseOverload
}
