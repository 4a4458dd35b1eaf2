package canary

import (
	"math"
	"time"
)

// pacedTimes counts answers by the times that they would have taken at a server of the usual
// pace, in the buckets of a Histogram. An answer between two buckets counts in part in both.
type pacedTimes [numBuckets]float64

// add counts the times of a server with the given pace.
func (t *pacedTimes) add(times Histogram, pace float64) {
	whole := math.Floor(pace)
	rest := pace - whole
	for b, c := range times {
		if c == 0 {
			continue
		}
		i := b - int(whole)
		t[clampBucket(i)] += float64(c) * (1 - rest)
		t[clampBucket(i-1)] += float64(c) * rest
	}
}

func clampBucket(b int) int { return min(max(b, 0), numBuckets-1) }

// plus returns the sum of t and o.
func (t pacedTimes) plus(o pacedTimes) pacedTimes {
	for i := range t {
		t[i] += o[i]
	}
	return t
}

// count returns the number of times.
func (t pacedTimes) count() float64 { return t.countFrom(0) }

// countFrom returns the number of times in the given bucket and later ones.
func (t pacedTimes) countFrom(b int) float64 {
	n := 0.0
	for _, c := range t[b:] {
		n += c
	}
	return n
}

// median returns the median. It is 0 without times.
func (t pacedTimes) median() time.Duration {
	left := t.count() / 2
	for b, c := range t {
		if left -= c; left <= 0 && c > 0 {
			return bucketMiddle(b)
		}
	}
	return 0
}

// pacedCounts counts the outcomes of one route.
type pacedCounts struct {
	calls    int
	failures int
	times    pacedTimes
}

// plus returns the sum of c and o.
func (c pacedCounts) plus(o pacedCounts) pacedCounts {
	return pacedCounts{c.calls + o.calls, c.failures + o.failures, c.times.plus(o.times)}
}
