package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the test.
const (
	// slowFactor is the multiple of the old version's median from which an answer is slow.
	slowFactor = 2.5
	// minSlowExcess is the least time beyond the median from which an answer is slow. Shorter
	// times than that are due to the scheduling of processes as well.
	minSlowExcess = 25 * time.Millisecond
	// minExcess is the share of the otherwise good answers that are bad at a bad version.
	minExcess = 0.12
	// minBadRate bounds the estimate of the old version's share of bad answers from below,
	// so that a few bad answers of the other version are no evidence.
	minBadRate = 0.01
	maxBadRate = 0.9
	// answersPerFalseAlarm is the mean number of answers of a version that is as good as
	// the old one until it is found bad.
	answersPerFalseAlarm = 1e6
	// serverWeight is the part of the evidence that one server can provide.
	serverWeight = 0.6
	// minBaseline is the number of answers of the old version on a route below which the
	// route is judged by the answers on all routes.
	minBaseline = 20
	// baselineSpan is the length of the spans in which answers of the old version are
	// counted. The present span and the one before make up the baseline, so that it follows
	// changes of the load.
	baselineSpan = 3 * time.Second
)

// alarmLevel is the evidence at which a version is bad. Evidence is the logarithm of how
// many times more likely the answers are from a bad version than from one like the old one.
var alarmLevel = math.Log(answersPerFalseAlarm)

// defaultSlowAfter is used for the time after which an answer is slow while there is no
// answer of the old version.
const defaultSlowAfter = time.Second

// baseline holds the recent counts of the old version on a route.
type baseline struct {
	recent, earlier pacedCounts // of the present span of time, and of the one before
}

func (b *baseline) counts() pacedCounts { return b.recent.plus(b.earlier) }

// cusum is the cumulative sum of the evidence that a version is worse than the old one.
type cusum struct {
	sum      float64
	byServer map[string]float64 // contributions since sum was 0
}

// add adds llr, the log-likelihood ratio of answers of a server.
func (c *cusum) add(server string, llr float64) {
	c.sum = max(c.sum+llr, 0)
	if c.sum == 0 {
		clear(c.byServer)
		return
	}
	c.byServer[server] = max(c.byServer[server]+llr, 0)
}

// level returns the evidence, given the number of servers that have answered. No server
// provides more than serverWeight of an alarm, unless it is the only one.
func (c *cusum) level(servers int) float64 {
	if servers < 2 {
		return c.sum
	}
	excess := 0.0
	for _, v := range c.byServer {
		excess = max(excess, v-serverWeight*alarmLevel)
	}
	return c.sum - excess
}

// allRoutes is the name of the test over the answers on all routes.
const allRoutes = "all routes"

// Judge compares the answers of the target version with those of the old one.
type Judge struct {
	baselines  map[string]*baseline // by route, with times at the pace of all servers
	paces      *paces
	spanEnd    time.Time
	tests      map[string]*cusum // by route, and of allRoutes
	servers    map[string]bool   // of the target version, that have answered
	answers    map[string]int    // of the target version that were judged, by route
	bad        float64           // of these
	targetTime Histogram         // of its answers that neither failed nor are left out of the judgement
}

// NewJudge returns a judge without answers.
func NewJudge(now time.Time) *Judge {
	return &Judge{
		baselines: map[string]*baseline{}, paces: newPaces(), spanEnd: now.Add(baselineSpan), tests: map[string]*cusum{},
		servers: map[string]bool{}, answers: map[string]int{},
	}
}

// AddOld adds answers of the old version that a server has given.
func (j *Judge) AddOld(now time.Time, server, route string, c RouteCounts) {
	if now.After(j.spanEnd) {
		j.spanEnd = now.Add(baselineSpan)
		for _, b := range j.baselines {
			b.earlier, b.recent = b.recent, pacedCounts{}
		}
	}
	paced := pacedCounts{calls: c.Calls, failures: c.Failures}
	if bucket, ok := j.medianBucket(route); ok {
		j.paces.addOld(server, c.Times, bucket)
	}
	paced.times.add(c.Times, j.paces.ofOld(server))
	for _, name := range []string{route, allRoutes} {
		b := j.baselines[name]
		if b == nil {
			b = &baseline{}
			j.baselines[name] = b
		}
		b.recent = b.recent.plus(paced)
	}
}

// medianBucket returns the bucket of the median of a route at the old version. ok is false if
// there are too few answers.
func (j *Judge) medianBucket(route string) (bucket int, ok bool) {
	b := j.baselines[route]
	if b == nil {
		return 0, false
	}
	times := b.counts().times
	if times.count() < minBaseline {
		return 0, false
	}
	return bucketOf(times.median()), true
}

// Ready reports whether there are enough answers of the old version to compare others with.
func (j *Judge) Ready() bool {
	b := j.baselines[allRoutes]
	return b != nil && b.counts().calls >= minBaseline
}

// AddTarget adds answers of the target version that a server has given.
func (j *Judge) AddTarget(server, route string, c RouteCounts) {
	total := c.Failures + c.Times.Count()
	if total == 0 {
		return
	}
	j.servers[server] = true
	if bucket, ok := j.medianBucket(route); ok {
		j.paces.addTarget(server, c.Times, bucket)
	}
	ref := j.reference(route)
	bad := float64(c.Failures)
	if ref.slowBucket < numBuckets {
		var times pacedTimes
		times.add(c.Times, j.paces.ofTarget(server))
		bad += times.countFrom(ref.slowBucket)
	}
	j.targetTime = j.targetTime.plus(c.Times)
	j.answers[route] += total
	j.bad += bad
	j.addEvidence(server, route, ref, float64(total), bad)
}

// addEvidence adds to the tests that total answers of a server, bad of them, were judged by
// ref.
func (j *Judge) addEvidence(server, route string, ref reference, total, bad float64) {
	worse := ref.badRate + (1-ref.badRate)*minExcess
	ifBad := math.Log(worse / ref.badRate)
	ifGood := math.Log((1 - worse) / (1 - ref.badRate))
	for _, name := range []string{route, allRoutes} {
		t := j.tests[name]
		if t == nil {
			t = &cusum{byServer: map[string]float64{}}
			j.tests[name] = t
		}
		t.add(server, (total-bad)*ifGood)
		t.add(server, bad*ifBad)
	}
}

// reference is what the answers on a route are compared with.
type reference struct {
	slowBucket int     // first bucket of slow answers, numBuckets if times can't be compared
	badRate    float64 // share of bad answers of the old version
}

// reference returns the reference of a route.
func (j *Judge) reference(route string) reference {
	own := pacedCounts{}
	if b := j.baselines[route]; b != nil {
		own = b.counts()
	}
	ref := reference{slowBucket: numBuckets, badRate: badRate(own, numBuckets)}
	if own.times.count() >= minBaseline {
		ref.slowBucket = slowBucket(own.times)
		ref.badRate = badRate(own, ref.slowBucket)
	} else if b := j.baselines[allRoutes]; b != nil {
		ref.badRate = badRate(b.counts(), numBuckets)
	}
	return ref
}

// slowBucket returns the first bucket of answers that are slow in comparison with times.
func slowBucket(times pacedTimes) int {
	return bucketOf(slowFrom(times.median()))
}

// slowFrom returns the time from which an answer is slow, given the median of the old version.
func slowFrom(median time.Duration) time.Duration {
	return max(time.Duration(slowFactor*float64(median)), median+minSlowExcess)
}

// badRate estimates the share of bad answers.
func badRate(c pacedCounts, slowBucket int) float64 {
	bad := float64(c.failures)
	n := bad + c.times.count()
	if slowBucket < numBuckets {
		bad += c.times.countFrom(slowBucket)
	}
	return min(max((bad+1)/(n+2), minBadRate), maxBadRate)
}

// Alarm returns why the target version is bad. ok is false if it is not found bad.
func (j *Judge) Alarm() (reason string, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(j.tests)) {
		if level := j.tests[name].level(len(j.servers)); level >= alarmLevel {
			return fmt.Sprintf("bad answers on %s: evidence %.1f of %.1f, %.0f of %d answers bad in all", name, level, alarmLevel, j.bad, j.Answers()), true
		}
	}
	return "", false
}

// Evidence returns the highest evidence of a test as a share of an alarm.
func (j *Judge) Evidence() float64 {
	e := 0.0
	for _, t := range j.tests {
		e = max(e, t.level(len(j.servers))/alarmLevel)
	}
	return e
}

// Answers returns the number of answers of the target version that were judged.
func (j *Judge) Answers() int {
	n := 0
	for _, a := range j.answers {
		n += a
	}
	return n
}

// Bad returns the number of bad answers of the target version.
func (j *Judge) Bad() int { return int(math.Round(j.bad)) }

// SlowAfter returns the longest time, of all routes, after which an answer of a slow server is
// slow.
func (j *Judge) SlowAfter() time.Duration {
	var d time.Duration
	for name, b := range j.baselines {
		if times := b.counts().times; name != allRoutes && times.count() >= minBaseline {
			d = max(d, slowFrom(times.median()))
		}
	}
	if d == 0 {
		return defaultSlowAfter
	}
	return time.Duration(float64(d) * math.Exp2(j.paces.deviation()/bucketsPerTwice))
}

// TargetMean returns the mean time of the answers of the target version.
func (j *Judge) TargetMean() time.Duration { return j.targetTime.Mean() }
