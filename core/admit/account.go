package admit

import (
	"time"

	"tanagerchute/core/routes"
)

// minServedShare is the share of what a priority offers that is started before more of a
// higher priority is, if calls have client accounts and the slots are enough for it. The
// priority of an account holds for all its calls, so that otherwise the accounts of the
// lowest priority would get nothing for as long as an overload lasts.
const minServedShare = 0.25

// checkShare records that a call of a client account is offered, and sets its excess, which
// is positive if the account has taken its share of the slots.
func (c *Controller) checkShare(now time.Time, it *Item) {
	if it.Account == "" {
		return
	}
	c.hasAccounts = true
	it.excess = c.shares[it.Priority].offer(now, it.Account, it.hold, c.availableSlots(now, it.Priority))
}

// withinShare reports whether the call belongs to a client account that has not taken its
// share of the slots. The slots are enough for all calls within the shares, so that a queue
// of them is short-lived also under overload.
func (it *Item) withinShare() bool { return it.Account != "" && it.excess == 0 }

// takeShare records that a call was queued or started.
func (c *Controller) takeShare(now time.Time, it *Item) {
	if it.Account != "" {
		it.takenAt = now
		c.shares[it.Priority].take(now, it.Account, it.hold)
	}
}

// dequeue removes a call that does not start from the queue, and reports whether it was
// queued. What it took of the share of its account is given back.
func (c *Controller) dequeue(now time.Time, id string) bool {
	it := c.queue.remove(id)
	if it == nil {
		return false
	}
	if it.Account != "" {
		c.shares[it.Priority].giveBack(now, it.Account, it.hold, it.takenAt)
	}
	return true
}

// recordStart records that a call starts, if calls have client accounts.
func (c *Controller) recordStart(now time.Time, it *Item) {
	if !c.hasAccounts {
		return
	}
	c.started.add(now, it.Priority, it.hold)
}

// popNext removes the call from the queue that starts next. That is one of the lowest
// priority that has got less than minServedShare of what it offers, if calls have client
// accounts.
func (c *Controller) popNext(now time.Time, timelyFirst bool) *Item {
	if c.hasAccounts {
		for p := routes.Priority(routes.NumPriorities - 1); p > 0; p-- {
			if c.started.slots(now, p) >= c.guaranteedSlots(now, p) {
				continue
			}
			if it := c.queue.popLevel(p); it != nil {
				return it
			}
		}
	}
	return c.queue.pop(timelyFirst)
}

// guaranteedSlots returns the number of slots that priority p gets whatever higher
// priorities offer. All priorities but the highest together get minServedShare of the slots
// at most, so that those that offer many times what the server can do do not displace it.
func (c *Controller) guaranteedSlots(now time.Time, p routes.Priority) float64 {
	if !c.hasAccounts {
		return 0
	}
	lower := c.offered.slotsAbove(now, routes.NumPriorities) - c.offered.slots(now, 0)
	scale := float64(c.Limit()) / max(lower, float64(c.Limit()))
	return minServedShare * scale * c.offered.slots(now, p)
}

// availableSlots returns the number of slots that calls of priority p can expect, if the
// higher priorities use as many as they have lately.
func (c *Controller) availableSlots(now time.Time, p routes.Priority) float64 {
	slots := float64(c.Limit())
	return max(slots-c.used.slotsAbove(now, p), minSlotShare*slots)
}

// guaranteedWait estimates how long a call waits behind the given work of its own priority for
// one of the slots that the priority gets whatever the others offer. It returns false if there
// are none.
func (c *Controller) guaranteedWait(now time.Time, it *Item, ahead time.Duration) (time.Duration, bool) {
	slots := c.guaranteedSlots(now, it.Priority)
	if slots <= 0 {
		return 0, false
	}
	return time.Duration(float64(ahead+it.hold) / slots), true
}
