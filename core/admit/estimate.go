package admit

import (
	"time"

	"tanagerchute/core/routes"
)

// ServiceTime returns the average time that the server works on a call, or 0 if
// no call has ended yet. It leaves out the time in which the server waits for
// its own nested calls. That time depends on the call and not on the server: if
// it counted, a server full of waiting calls would seem as fast as its last
// call that did not wait.
func (c *Controller) ServiceTime() time.Duration {
	if c.noSamples {
		return 0
	}
	return c.serviceTime
}

// maxClasses bounds the classes whose hold times and acceptance are kept apart.
const maxClasses = 256

// holdTimeOf returns the average time for which a call of a class holds its slot. Classes of
// one priority can differ widely: with a common average, short calls would be refused since
// long ones can't be answered in time.
func (c *Controller) holdTimeOf(class string) time.Duration {
	if d := c.holdTimes[class]; d > 0 {
		return d
	}
	return c.holdTime
}

// addHoldTime adds a call to the average of its class.
func (c *Controller) addHoldTime(class string, d time.Duration) {
	average, known := c.holdTimes[class]
	if !known && len(c.holdTimes) >= maxClasses {
		return
	}
	c.holdTimes[class] = ewma(average, d, !known)
}

// minTimeLeft returns the time before its deadline that a call needs to start.
func minTimeLeft(holdTime time.Duration) time.Duration {
	return time.Duration(minTimeLeftShare * float64(holdTime))
}

// estimateWait estimates how long a call waits behind the given work, for a slot and for its
// turn under the rate limit.
func (c *Controller) estimateWait(now time.Time, it *Item, ahead backlogByPriority) time.Duration {
	return max(c.estimateSlotWait(now, it, ahead), c.quota.Wait(now, ahead.total().calls))
}

// estimateSlotWait estimates how long a call waits for a slot behind the given work. It
// assumes that new calls of higher priorities keep using as many slots as they have lately.
func (c *Controller) estimateSlotWait(now time.Time, it *Item, ahead backlogByPriority) time.Duration {
	work := c.holdTime + ahead.total().work // the first slot becomes free after about holdTime / Limit
	wait := time.Duration(float64(work) / c.availableSlots(now, it.Priority))
	if guaranteed, ok := c.guaranteedWait(now, it, ahead[it.Priority].work); ok {
		return min(wait, guaranteed)
	}
	return wait
}

// lastInQueue is a call of the lowest priority, which starts after all that are queued.
var lastInQueue = &Item{Priority: routes.NumPriorities - 1}

// RetryAfter returns how long a refused caller should wait before a retry:
// twice the estimated wait at the end of the present queue.
func (c *Controller) RetryAfter(now time.Time) time.Duration {
	return max(2*c.estimateWait(now, lastInQueue, c.queue.backlog()), minRetryAfter)
}

// record updates the time estimates and the limit by a call that has ended.
func (c *Controller) record(now time.Time, d Completion) {
	switch d.Result {
	case OK, TimedOut:
		c.addSample(now, d, d.Duration)
		c.limit = min(c.limit+1/c.limit, float64(c.cfg.Slots))
	case Failed:
		// The duration of a failed or abandoned call is only a lower bound on
		// what the full call would have taken. It counts if it is above average.
		if d.Duration > c.holdTimeOf(d.Class) {
			c.addSample(now, d, max(d.Duration, c.holdTime))
		}
	case Shed:
		causedByLoad := float64(c.inFlight) >= minBackoffShare*c.limit
		if !causedByLoad || now.Sub(c.lastBackoff) < backoffInterval {
			return
		}
		c.lastBackoff = now
		c.limit = max(1, minLimitShare*float64(c.cfg.Slots), c.limit*backoffFactor)
	}
}

// addSample adds a call to the averages. holdTime is its sample for the
// averages over all priorities.
func (c *Controller) addSample(now time.Time, d Completion, holdTime time.Duration) {
	c.used.add(now, d.Priority, d.Duration)
	c.holdTime = ewma(c.holdTime, holdTime, c.noSamples)
	c.serviceTime = ewma(c.serviceTime, max(holdTime-d.NestedWait, 0), c.noSamples)
	c.noSamples = false
	c.addHoldTime(d.Class, d.Duration)
}

// ewma adds a sample to an exponentially weighted moving average.
func ewma(average, sample time.Duration, first bool) time.Duration {
	if first {
		return sample
	}
	return average + time.Duration(ewmaWeight*float64(sample-average))
}
