package admit

import (
	"math"
	"time"
)

const (
	// acceptanceWindow is the time constant of the average of acceptance.
	acceptanceWindow = time.Second
	// minAcceptanceCalls is the number of recent calls, after decay, from which the
	// acceptance of a class is known.
	minAcceptanceCalls = 3
	// minAcceptance is reported if no call is accepted, since 0 stands for unknown.
	minAcceptance = 0.01
)

// acceptance counts the recent calls of a class that started, and those that were refused for
// load, with exponential decay.
type acceptance struct {
	updated          time.Time
	started, refused float64
}

func (a *acceptance) decay(now time.Time) {
	dt := now.Sub(a.updated)
	if dt <= 0 {
		return
	}
	a.updated = now
	f := math.Exp(-dt.Seconds() / acceptanceWindow.Seconds())
	a.started *= f
	a.refused *= f
}

// acceptanceOf returns the counts of a class, nil if there are too many classes.
func (c *Controller) acceptanceOf(now time.Time, class string) *acceptance {
	a := c.acceptances[class]
	if a == nil {
		if len(c.acceptances) >= maxClasses {
			return nil
		}
		a = &acceptance{updated: now}
		c.acceptances[class] = a
	}
	a.decay(now)
	return a
}

// countStart counts a call that starts.
func (c *Controller) countStart(now time.Time, class string) {
	if a := c.acceptanceOf(now, class); a != nil {
		a.started++
	}
}

// countRefusal counts a call that is refused for load.
func (c *Controller) countRefusal(now time.Time, class string) {
	if a := c.acceptanceOf(now, class); a != nil {
		a.refused++
	}
}

// Acceptance returns the share of the recent calls of a class that were not refused for load,
// 0 if that is not known.
func (c *Controller) Acceptance(now time.Time, class string) float64 {
	a := c.acceptances[class]
	if a == nil {
		return 0
	}
	a.decay(now)
	n := a.started + a.refused
	if n < minAcceptanceCalls {
		return 0
	}
	return max(a.started/n, minAcceptance)
}
