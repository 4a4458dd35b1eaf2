package canary

import "math"

const (
	// quartileVariance is the variance of the lower quartile of n answers times n, in squares
	// of buckets. It is that of times that spread by a factor of about 1.6.
	quartileVariance = 12
	// paceMargin is the number of standard errors by which a server may be slower than its
	// answers tell so far.
	paceMargin = 1.5
	// slowdownMargin is the number of standard errors up to which a difference between the
	// mean paces of two versions is put down to chance.
	slowdownMargin = 2
)

// offsets counts by how many buckets the times of answers differ from the median of their
// route.
type offsets struct {
	counts [2*numBuckets + 1]uint32
	total  int
}

// add counts the times of a histogram, whose route has its median in the given bucket.
func (o *offsets) add(times Histogram, medianBucket int) {
	for b, c := range times {
		o.counts[numBuckets+b-medianBucket] += c
		o.total += int(c)
	}
}

// lowerQuartile returns the offset below which a quarter of the answers are. It does not change
// if a part of the answers are slow for another reason than the speed of the server.
func (o *offsets) lowerQuartile() float64 {
	left := float64(o.total) / 4
	for i, c := range o.counts {
		if float64(c) >= left && c > 0 {
			return float64(i-numBuckets) + left/float64(c)
		}
		left -= float64(c)
	}
	return 0
}

// paces estimates how fast each server answers, since the servers of a version differ in
// speed. A pace is a number of buckets by which the answers of a server take longer than
// those of all servers of the old version.
type paces struct {
	all         offsets // of all servers of the old version
	old, target map[string]*offsets
	additions   int     // since the following were computed
	variance    float64 // of the paces of the old servers
	slowdown    float64 // of the target version
}

func newPaces() *paces { return &paces{old: map[string]*offsets{}, target: map[string]*offsets{}} }

// update computes what concerns all servers again, once for about as many additions as there
// are servers, so that the cost of an addition doesn't grow with their number.
func (p *paces) update() {
	if p.additions < len(p.old)+len(p.target) {
		return
	}
	p.additions = 0
	p.variance = p.computeVariance()
	p.slowdown = p.computeSlowdown()
}

// addOld counts answers of a server of the old version, whose route has its median in the
// given bucket.
func (p *paces) addOld(server string, times Histogram, medianBucket int) {
	p.add(p.old, server, times, medianBucket)
	p.all.add(times, medianBucket)
}

// addTarget counts answers of a server of the target version.
func (p *paces) addTarget(server string, times Histogram, medianBucket int) {
	p.add(p.target, server, times, medianBucket)
}

func (p *paces) add(byServer map[string]*offsets, server string, times Histogram, medianBucket int) {
	o := byServer[server]
	if o == nil {
		o = &offsets{}
		byServer[server] = o
	}
	o.add(times, medianBucket)
	p.additions++
}

// ofOld returns the pace of a server of the old version.
func (p *paces) ofOld(server string) float64 {
	p.update()
	pace, _ := p.estimate(p.old[server])
	return pace
}

// ofTarget returns the slowest pace that a server of the target version may have by its
// answers so far, less the part of it that is due to the version.
func (p *paces) ofTarget(server string) float64 {
	p.update()
	pace, stderr := p.estimate(p.target[server])
	fastest := -paceMargin * p.deviation()
	return max(pace+paceMargin*stderr-p.slowdown, fastest)
}

// deviation returns the standard deviation of the paces of the old servers.
func (p *paces) deviation() float64 { return math.Sqrt(p.variance) }

// measured returns the pace of a server by its answers alone.
func (p *paces) measured(o *offsets) float64 { return o.lowerQuartile() - p.all.lowerQuartile() }

// estimate returns the pace of a server and its standard error. Few answers tell little, so
// that the pace of a server without answers is the usual one, and its error the deviation of all.
func (p *paces) estimate(o *offsets) (pace, stderr float64) {
	if o == nil || o.total == 0 {
		return 0, p.deviation()
	}
	noise := quartileVariance / float64(o.total)
	weight := p.variance / (p.variance + noise)
	return weight * p.measured(o), math.Sqrt(weight * noise)
}

// computeVariance returns the variance of the paces of the servers of the old version, without the
// part that is due to few answers.
func (p *paces) computeVariance() float64 {
	var sum, noise float64
	n := 0
	for _, o := range p.old {
		if o.total == 0 {
			continue
		}
		n++
		pace := p.measured(o)
		sum += pace * pace
		noise += quartileVariance / float64(o.total)
	}
	if n < 2 {
		return 0
	}
	return max(sum-noise, 0) / float64(n)
}

// computeSlowdown returns by how many buckets the servers of the target version are slower than those
// of the old one, beyond what the speeds of the servers that happen to run it explain.
func (p *paces) computeSlowdown() float64 {
	var sum, weights float64
	for _, o := range p.target {
		if o.total == 0 {
			continue
		}
		weight := 1 / (p.variance + quartileVariance/float64(o.total))
		sum += weight * p.measured(o)
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return max(sum/weights-slowdownMargin/math.Sqrt(weights), 0)
}
