package canary

import (
	"math"
	"time"
)

// Buckets of a Histogram.
const (
	numBuckets      = 56
	bucketsPerTwice = 4 // buckets between a time and twice that time
	firstBucketEnd  = time.Millisecond
)

// Histogram counts times in buckets, each of which begins 2^(1/4) times later than the
// one before.
type Histogram [numBuckets]uint32

// bucketOf returns the bucket of a time.
func bucketOf(d time.Duration) int {
	if d < firstBucketEnd {
		return 0
	}
	octaves := math.Log2(float64(d) / float64(firstBucketEnd))
	return min(1+int(bucketsPerTwice*octaves), numBuckets-1)
}

// bucketStart returns the shortest time in a bucket.
func bucketStart(b int) time.Duration {
	if b == 0 {
		return 0
	}
	return time.Duration(float64(firstBucketEnd) * math.Exp2(float64(b-1)/bucketsPerTwice))
}

// Add counts a time.
func (h *Histogram) Add(d time.Duration) { h[bucketOf(d)]++ }

// Count returns the number of times.
func (h Histogram) Count() int { return h.countFrom(0) }

// countFrom returns the number of times in the given bucket and later ones.
func (h Histogram) countFrom(b int) int {
	n := 0
	for _, c := range h[b:] {
		n += int(c)
	}
	return n
}

// plus returns the sum of h and o.
func (h Histogram) plus(o Histogram) Histogram {
	for i := range h {
		h[i] += o[i]
	}
	return h
}

// since returns what h has more than o. A bucket with less is 0.
func (h Histogram) since(o Histogram) Histogram {
	for i := range h {
		h[i] -= min(h[i], o[i])
	}
	return h
}

// bucketMiddle returns the geometric mean of the times in a bucket.
func bucketMiddle(b int) time.Duration {
	if b == 0 {
		return firstBucketEnd / 2
	}
	return time.Duration(float64(bucketStart(b)) * math.Exp2(1.0/(2*bucketsPerTwice)))
}

// Mean returns the approximate mean. It is 0 without times.
func (h Histogram) Mean() time.Duration {
	n := h.Count()
	if n == 0 {
		return 0
	}
	var sum time.Duration
	for b, c := range h {
		sum += time.Duration(c) * bucketMiddle(b)
	}
	return sum / time.Duration(n)
}

// Outcome is the end of a call at a backend server.
type Outcome struct {
	Route  string
	Failed bool
	Took   time.Duration // at the server, without the wait for a slot
	// Unjudged is set if Took says nothing about the version: the server was still slow
	// after its start, has refused the call, or was left by the caller.
	Unjudged bool
}

// RouteCounts counts the outcomes of one route.
type RouteCounts struct {
	Calls    int       // that the server got
	Failures int       // of these
	Times    Histogram // of the other ones, without those that are not judged
}

// since returns what c has more than o.
func (c RouteCounts) since(o RouteCounts) RouteCounts {
	return RouteCounts{max(c.Calls-o.Calls, 0), max(c.Failures-o.Failures, 0), c.Times.since(o.Times)}
}

// maxRoutes bounds the routes of a Tally. Further ones share the last.
const maxRoutes = 64

// otherRoutes is the name under which further routes are counted.
const otherRoutes = "other routes"

// Tally counts the outcomes at the backend server of one node since an order. It is not
// safe for concurrent use.
type Tally struct {
	Version string // of the server
	Routes  map[string]RouteCounts
}

// NewTally returns an empty tally.
func NewTally(version string) *Tally {
	return &Tally{Version: version, Routes: map[string]RouteCounts{}}
}

// Add counts the end of a call.
func (t *Tally) Add(o Outcome) {
	route := o.Route
	if _, ok := t.Routes[route]; !ok && len(t.Routes) >= maxRoutes {
		route = otherRoutes
	}
	c := t.Routes[route]
	c.Calls++
	switch {
	case o.Failed:
		c.Failures++
	case !o.Unjudged:
		c.Times.Add(o.Took)
	}
	t.Routes[route] = c
}

// Calls returns the number of calls.
func (t *Tally) Calls() int {
	n := 0
	for _, c := range t.Routes {
		n += c.Calls
	}
	return n
}

// Clone returns a copy of t.
func (t *Tally) Clone() *Tally {
	c := NewTally(t.Version)
	for name, rc := range t.Routes {
		c.Routes[name] = rc
	}
	return c
}
