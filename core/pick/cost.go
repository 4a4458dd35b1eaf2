package pick

import "time"

// meanServiceTime returns the mean of the service times of the candidates of which it is known.
func (p *Picker) meanServiceTime(now time.Time, cs []Candidate) time.Duration {
	var sum time.Duration
	n := 0
	for _, c := range cs {
		if d, known := p.serviceTime(now, c.ID); known {
			sum += d
			n++
		}
	}
	if n == 0 {
		return p.cfg.DefaultServiceTime
	}
	return sum / time.Duration(n)
}

// serviceTime returns the service time that a candidate has reported. That of a server with a rate
// limit is not known any more once none of its calls has ended for StaleAfter: it is not tried
// again as others are, so that a few slow calls would keep all others away.
func (p *Picker) serviceTime(now time.Time, id string) (d time.Duration, known bool) {
	s := p.stats[id]
	if s == nil || s.load.RateLimit > 0 && s.inFlight == 0 && now.Sub(s.loadAt) > p.cfg.StaleAfter {
		return 0, false
	}
	return s.load.ServiceTime, s.load.ServiceTime > 0
}

// Parameters of the cost estimate.
const (
	untriedFactor      = 0.6 // on the service time of a local candidate without recent calls, so that it is tried again
	costJitter         = 0.1 // relative, in each direction
	utilizationWeight  = 0.1 // extra cost of a fully used candidate over an idle one, in service times
	slowStartFactor    = 2   // on the service time during slow start
	maxFailureRate     = 0.9 // keeps the cost of a candidate that always fails finite
	avoidResendRate    = 0.2 // failure rate from which a candidate gets no resends
	healthyFailureRate = 0.1 // failure rate below which a candidate is healthy
)

// cost estimates the time in which c answers a call, divided by the chance that
// it succeeds. meanService stands in for a service time that is not known.
func (p *Picker) cost(now time.Time, c Candidate, criteria Criteria, meanService time.Duration) time.Duration {
	limit := float64(max(c.Slots, 1))
	service, known := p.serviceTime(now, c.ID)
	if !known {
		service = meanService
	}
	var load, failureRate, refusals float64
	if s := p.stats[c.ID]; s != nil {
		load = float64(s.inFlight)
		if now.Sub(s.loadAt) < p.cfg.StaleAfter {
			if s.load.Limit > 0 {
				limit = float64(s.load.Limit)
			}
			// The report does not include calls sent after it.
			reported := float64(s.load.InFlight + s.load.Queued)
			load = max(load, reported+float64(max(s.inFlight-s.inFlightAtReport, 0)))
		}
		refusals = s.refusalPenalty(now, p.cfg.StaleAfter)
		failureRate = min(s.failureRate, maxFailureRate)
	}
	if now.Before(c.WarmupEnd) {
		service *= slowStartFactor
	}
	if !c.Remote && p.untried(now, c) {
		service = time.Duration(untriedFactor * float64(service))
	}
	queueing := max(load+1-limit, 0) / limit
	utilization := utilizationWeight * min(load/limit, 1)
	cost := (float64(service)*(1+queueing+utilization) + float64(max(service, meanService))*refusals) / (1 - failureRate)
	cost *= 1 + costJitter*(2*p.cfg.Rand.Float64()-1)
	return time.Duration(cost) + p.quotaWait(now, c) + p.linkTime(now, c, criteria, service) + p.localityPenalty(c, criteria)
}

// quotaWait estimates how long a call waits until the rate limit of c lets it start.
func (p *Picker) quotaWait(now time.Time, c Candidate) time.Duration {
	s := p.stats[c.ID]
	if s == nil || s.load.RateLimit <= 0 {
		return 0
	}
	sentSince := max(s.inFlight-s.inFlightAtReport, 0)
	wait := s.load.QuotaWait + time.Duration(float64(sentSince)/s.load.RateLimit*float64(time.Second))
	return max(wait-now.Sub(s.loadAt), 0)
}

// untried reports whether this node has no call in flight at c and has sent none
// for StaleAfter. A server that limits its rate is not tried again for that reason.
func (p *Picker) untried(now time.Time, c Candidate) bool {
	s := p.stats[c.ID]
	return s == nil || s.inFlight == 0 && s.load.RateLimit == 0 && now.Sub(s.lastUsed) > p.cfg.StaleAfter
}

// localityPenalty returns the cost of sending the call to the data centre of c.
func (p *Picker) localityPenalty(c Candidate, criteria Criteria) time.Duration {
	switch {
	case !c.Remote:
		return 0
	case criteria.LargeResponse:
		return p.cfg.RemoteLargePenalty
	}
	return p.cfg.RemotePenalty
}

// Cost of recent refusals. An upstream that refuses calls reports a low load.
// Without this cost it would attract more calls the more it refuses.
const (
	refusalCost = 0.5 // per consecutive refusal, in service times
	maxRefusals = 4   // consecutive refusals that are counted
)

// refusalPenalty returns the cost of consecutive refusals, in service times. It
// is 0 if the last refusal is at least maxAge ago.
func (s *candidateStats) refusalPenalty(now time.Time, maxAge time.Duration) float64 {
	if now.Sub(s.lastRefusal) >= maxAge {
		return 0
	}
	return refusalCost * float64(s.consecutiveRefusals)
}
