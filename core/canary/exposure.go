package canary

import (
	"time"
)

// canaryServers returns the number of servers that get a share of the calls. Servers differ in
// speed, so that few of them say little about their version, but each needs some answers.
func (r *Rollout) canaryServers(share float64) int {
	calls := r.exposureOf(share, r.order.Within-r.moveLead())
	return min(max(int(calls/serverAnswers), minCanaryServers), maxCanaryServers)
}

// loadServers returns the number of servers that get the load of all calls.
func (r *Rollout) loadServers(s Servers) int {
	return max(minCanaryServers, int(canaryPart*r.cfg.Share*float64(s.TargetServers)))
}

// loadShare returns the share of the calls with which each of these servers has the load that
// it has when all calls are moved.
func (r *Rollout) loadShare(s Servers) float64 {
	return min(1, testLoad*float64(r.loadServers(s))/float64(max(s.TargetServers, 1)))
}

// loadTestDue reports whether the canary is to get the load of all calls. That is not needed
// if it has about that load already.
func (r *Rollout) loadTestDue(now time.Time, s Servers) bool {
	share, hold := r.loadShare(s), r.reaction(s)+minHold
	if s.TargetServers == 0 || r.underTest() || share < minLoadGain*r.stage.Share || r.judge.Evidence() > maxEvidence || r.order.Deadline.Sub(now) > r.moveLead()+hold {
		return false
	}
	return r.exposureOf(share, hold)+r.exposureOf(1, r.reaction(s)) <= r.Room(now)
}

// underTest reports whether the servers of the canary get the load of all calls.
func (r *Rollout) underTest() bool { return r.stage.Share > canaryPart*r.cfg.Share }

// moveLead returns how long before the deadline all calls are moved.
func (r *Rollout) moveLead() time.Duration {
	return min(maxMoveLead, time.Duration(moveLeadPart*float64(r.order.Within)))
}

// neededSlots returns the number of slots that all calls occupy at the target version.
func (r *Rollout) neededSlots() float64 { return r.rate.perSecond() * r.judge.TargetMean().Seconds() }

// reaction returns the time in which a version to which all calls go is found bad and left.
func (r *Rollout) reaction(s Servers) time.Duration {
	return r.judge.SlowAfter() + s.ReportInterval + spreadTime
}

// exposureOf returns the number of calls that the target version gets with a share for a time.
func (r *Rollout) exposureOf(share float64, d time.Duration) float64 {
	return share * r.rate.perSecond() * d.Seconds()
}

// Room returns how many calls the target version may still get by the plan, if it is bad.
func (r *Rollout) Room(now time.Time) float64 {
	left := max(r.order.Deadline.Sub(now), 0)
	expected := float64(r.calls) + futurePart*r.rate.perSecond()*left.Seconds()
	return budgetPart*(r.cfg.Share*expected+r.cfg.Slack) - float64(r.exposed)
}
