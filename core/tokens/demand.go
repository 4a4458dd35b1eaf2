package tokens

import (
	"math"
	"time"
)

// demand is the average number of requests in demandPeriod.
type demand struct {
	value float64
	at    time.Time // when value was valid
}

// add counts n requests.
func (d *demand) add(now time.Time, n float64) {
	d.value = d.perPeriod(now) + n
	d.at = now
}

// perPeriod returns the average, in which older requests count less.
func (d *demand) perPeriod(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(demandPeriod))
}
