package admit

import (
	"math"
	"time"

	"tanagerchute/core/table"
)

// usageWindow is the time over which the use of slots is averaged.
const usageWindow = 2 * time.Second

// usage is the slots that each priority has used of late, as an average that
// forgets with time.
type usage struct {
	at   time.Time
	work [table.NumPriorities]float64 // seconds of slots, decayed to at
}

// add notes that a call of a priority has used a slot.
func (u *usage) add(now time.Time, p table.Priority, took time.Duration) {
	u.decay(now)
	u.work[p] += took.Seconds()
}

// above returns the slots in use by priorities higher than p.
func (u *usage) above(now time.Time, p table.Priority) float64 {
	u.decay(now)
	var sum float64
	for _, w := range u.work[:p] {
		sum += w
	}
	return sum / usageWindow.Seconds()
}

func (u *usage) decay(now time.Time) {
	dt := now.Sub(u.at)
	if dt <= 0 {
		return
	}
	u.at = now
	f := math.Exp(-dt.Seconds() / usageWindow.Seconds())
	for i := range u.work {
		u.work[i] *= f
	}
}
