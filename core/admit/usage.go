package admit

import (
	"math"
	"time"

	"tanagerchute/core/routes"
)

// usageWindow is the time constant of the exponential average in usage.
const usageWindow = 2 * time.Second

// usage averages the number of slots that each priority has held lately, with
// exponential decay.
type usage struct {
	updated     time.Time
	slotSeconds [routes.NumPriorities]float64 // decayed up to updated
}

// add records that a call of priority p has held a slot for the given time.
func (u *usage) add(now time.Time, p routes.Priority, held time.Duration) {
	u.decay(now)
	u.slotSeconds[p] += held.Seconds()
}

// slotsAbove returns the average number of slots held by priorities higher than
// p.
func (u *usage) slotsAbove(now time.Time, p routes.Priority) float64 {
	u.decay(now)
	var sum float64
	for _, s := range u.slotSeconds[:p] {
		sum += s
	}
	return sum / usageWindow.Seconds()
}

// slots returns the average number of slots held by priority p.
func (u *usage) slots(now time.Time, p routes.Priority) float64 {
	u.decay(now)
	return u.slotSeconds[p] / usageWindow.Seconds()
}

func (u *usage) decay(now time.Time) {
	dt := now.Sub(u.updated)
	if dt <= 0 {
		return
	}
	u.updated = now
	f := decayFactor(dt)
	for i := range u.slotSeconds {
		u.slotSeconds[i] *= f
	}
}

// decayFactor returns what is left after dt of a value that decays with usageWindow.
func decayFactor(dt time.Duration) float64 {
	return math.Exp(-dt.Seconds() / usageWindow.Seconds())
}
