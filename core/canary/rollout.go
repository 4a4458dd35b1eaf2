package canary

import (
	"fmt"
	"time"
)

// Times of a roll-out.
const (
	// maxMoveLead and moveLeadPart bound how long before its deadline a roll-out moves all
	// calls: the former as a time, the latter as a part of the time that the order allows.
	maxMoveLead  = 5 * time.Second
	moveLeadPart = 0.4
	// commitTime is the time before the deadline that is kept for the calls in progress at
	// the old version to end and for the store.
	commitTime = 1500 * time.Millisecond
	// completeMargin is the time before the deadline at which a roll-out ends, whether or
	// not all nodes have confirmed it.
	completeMargin = 300 * time.Millisecond
	// spreadTime is the time in which a stage reaches all nodes.
	spreadTime = 100 * time.Millisecond
	// minHold is the time beyond the reaction time for which all calls go to a version
	// before it is committed to.
	minHold = 500 * time.Millisecond
	// baselineWait is how long the judgement waits for answers of the old version.
	baselineWait = 2 * time.Second
	// reportTTL is the time after which a node that is not known to be up is not waited for.
	reportTTL = 2 * time.Second
	// rateSpan is the time over which the rate of calls is measured.
	rateSpan = 2 * time.Second
	// settleTime is how long the first stage waits for servers that start together, so that
	// the canary does not go to the first of them alone.
	settleTime = 300 * time.Millisecond
)

// Shares of a roll-out.
const (
	canaryPart       = 0.25 // of Config.Share, that goes to the target version in phase Canary
	budgetPart       = 0.95 // of the calls that a bad version may get, which the plan uses
	futurePart       = 0.8  // of the calls expected until the deadline, in case the rate falls
	minCanaryServers = 2    // since one server says nothing about its version
	maxCanaryServers = 8    // more would have too little of the load that they get after the move
	serverAnswers    = 10   // of each server of the canary, which tell how fast it is
	testLoad         = 0.9  // of the load after the move, that the servers of the canary get before it
	minLoadGain      = 1.2  // times the present share of the canary, from which a load test tells more
	slotsInUse       = 0.9  // of the slots of the target version, which the calls may occupy after the move
	enoughSlots      = 0.8  // of the slots of the old version, which suffice whatever the calls occupy
	minAnswers       = 20   // of the target version, before all calls are moved early
	enoughAnswers    = 200  // of the target version, before it is committed to early
	maxEvidence      = 0.5  // of an alarm, up to which a version is committed to
)

// Config configures a Rollout.
type Config struct {
	Share float64 // of all calls between an order and its deadline, that a bad version may get
	Slack float64 // calls beyond that
}

// Servers describes the servers of a service as the holder knows them.
type Servers struct {
	TargetServers, TargetSlots int // that accept calls
	OldServers, OldSlots       int
	Nodes                      []string      // ids of the nodes that are up
	ReportInterval             time.Duration // between two reports of a node in phase Full
	ServiceExists              bool          // it is in the configuration, or has servers
}

// Rollout decides the stages of one order at its holder. It is not safe for concurrent use.
type Rollout struct {
	cfg       Config
	order     Order
	stage     Stage
	startedAt time.Time // of this holder
	enteredAt time.Time // of the stage
	withdrawn bool
	judge     *Judge
	nodes     map[string]*nodeState
	calls     int // at all versions since the order
	exposed   int // of these, at the target version
	rate      rateMeter
}

// New returns a roll-out whose old version is baseline. last is the last stage of the order
// that is known, zero if there is none.
func New(cfg Config, now time.Time, order Order, baseline string, last Stage) *Rollout {
	if last.Service == "" {
		last = Stage{Order: order.ID, Service: order.Service, Target: order.Target, Baseline: baseline}
	}
	if last.Phase == Full {
		last.Phase = Canary // the nodes have gone back to the old version meanwhile
	}
	return &Rollout{
		cfg: cfg, order: order, stage: last, startedAt: now, enteredAt: now,
		judge: NewJudge(now), nodes: map[string]*nodeState{}, rate: rateMeter{since: now},
	}
}

// Order returns the order.
func (r *Rollout) Order() Order { return r.order }

// Stage returns the present stage.
func (r *Rollout) Stage() Stage { return r.stage }

// Judge returns the judge of the target version.
func (r *Rollout) Judge() *Judge { return r.judge }

// Withdraw records that the order was withdrawn.
func (r *Rollout) Withdraw() { r.withdrawn = true }

// Enter records that s is the present stage.
func (r *Rollout) Enter(now time.Time, s Stage) {
	if s.Phase != r.stage.Phase || s.Share != r.stage.Share {
		r.enteredAt = now
	}
	r.stage = s
}

// Next returns the stage that follows the present one. ok is false if that is to stay.
func (r *Rollout) Next(now time.Time, s Servers) (next Stage, ok bool) {
	switch r.stage.Phase {
	case Waiting, Canary, Full:
	case Committed:
		return r.nextCommitted(now, s)
	default:
		return r.stage, false
	}
	if reason, bad := r.reasonToGoBack(now, s); bad {
		return r.stage.With(RolledBack, reason), true
	}
	switch r.stage.Phase {
	case Waiting:
		return r.nextWaiting(now, s)
	case Canary:
		return r.nextCanary(now, s)
	}
	return r.nextFull(now, s)
}

// reasonToGoBack returns why the roll-out ends without the target version.
func (r *Rollout) reasonToGoBack(now time.Time, s Servers) (reason string, ok bool) {
	if reason, bad := r.judge.Alarm(); bad {
		return reason, true
	}
	left, least := r.order.Deadline.Sub(now), commitTime
	if r.stage.Phase == Full {
		least = completeMargin
	}
	switch {
	case r.withdrawn:
		return "the order was withdrawn", true
	case r.order.Within <= completeMargin:
		return "the deadline of the order has passed", true
	case !s.ServiceExists && now.Sub(r.startedAt) > settleTime:
		return "no such service", true
	case r.stage.Phase == Canary && r.Room(now) < r.exposureOf(r.stage.Share, r.reaction(s)):
		return "the calls that the version may get are used up: " + r.Progress(), true
	case left > least:
		return "", false
	case s.TargetServers == 0:
		return "no server of the version accepts calls by the deadline", true
	case r.stage.Phase == Full:
		return "the version is not known to be good by the deadline", true
	}
	reason, _ = r.reasonToWait(now, s)
	return "the version can't be in use by the deadline: " + reason, true
}

// nextWaiting decides whether the canary begins, or the version is in use already.
func (r *Rollout) nextWaiting(now time.Time, s Servers) (Stage, bool) {
	switch {
	case r.order.Target == r.stage.Baseline:
		return r.stage.With(Committed, "the version is in use already"), true
	case s.TargetServers == 0 || now.Sub(r.startedAt) < settleTime:
		return r.stage, false
	}
	return r.canaryStage(s, "servers of the version accept calls"), true
}

// canaryStage returns the stage of the canary.
func (r *Rollout) canaryStage(s Servers, reason string) Stage {
	next := r.stage.With(Canary, reason)
	next.Share = canaryPart * r.cfg.Share
	next.Servers = max(r.canaryServers(next.Share), int(next.Share*float64(s.TargetServers)))
	return next
}

// nextCanary decides whether the canary gets more load, or all calls are moved.
func (r *Rollout) nextCanary(now time.Time, s Servers) (Stage, bool) {
	if r.loadTestDue(now, s) {
		next := r.stage.With(Canary, "its servers get the load of all calls: "+r.Progress())
		next.Share, next.Servers = r.loadShare(s), r.loadServers(s)
		return next, true
	}
	if _, wait := r.reasonToWait(now, s); wait {
		return r.stage, false
	}
	return r.stage.With(Full, r.Progress()), true
}

// reasonToWait returns why all calls are not moved now.
func (r *Rollout) reasonToWait(now time.Time, s Servers) (reason string, ok bool) {
	left := r.order.Deadline.Sub(now)
	needed := r.neededSlots()
	switch {
	case left > r.moveLead():
		return fmt.Sprintf("all calls are moved %v before the deadline", r.moveLead()), true
	case r.underTest() && now.Sub(r.enteredAt) < r.reaction(s)+minHold:
		return "its servers have not had the load of all calls for long enough", true
	case r.judge.Evidence() > maxEvidence:
		return "the version is not known to be good: " + r.Progress(), true
	case s.TargetServers == 0:
		return "no server of the version accepts calls", true
	case float64(s.TargetSlots) < min(needed/slotsInUse, enoughSlots*float64(s.OldSlots)):
		return fmt.Sprintf("too few servers: %d slots, %.0f in use", s.TargetSlots, needed), true
	case left < r.reaction(s)+commitTime:
		return fmt.Sprintf("%v are left, too little to find out that the version is bad", left.Round(time.Millisecond)), true
	case r.judge.Answers() < minAnswers && left > r.reaction(s)+minHold+commitTime:
		return fmt.Sprintf("%d answers of the version judged, %d needed", r.judge.Answers(), minAnswers), true
	}
	exposure, room := r.exposureOf(1, r.reaction(s)), r.Room(now)
	if exposure > room {
		return fmt.Sprintf("%.0f calls would be exposed until the version is found bad, there is room for %.0f", exposure, room), true
	}
	return "", false
}

// nextFull decides whether the version is committed to, or its exposure has to end.
func (r *Rollout) nextFull(now time.Time, s Servers) (Stage, bool) {
	if s.TargetServers == 0 {
		return r.canaryStage(s, "no server of the version accepts calls"), true
	}
	held := now.Sub(r.enteredAt)
	if held < r.reaction(s) {
		return r.stage, false // a bad version may not have been found yet
	}
	last := r.lastMoment(now, s)
	switch {
	case r.judge.Evidence() > maxEvidence && last:
		return r.stage.With(RolledBack, "the version is not known to be good: "+r.Progress()), true
	case r.judge.Evidence() > maxEvidence:
		return r.stage, false
	case !last && (held < r.reaction(s)+minHold || r.judge.Answers() < enoughAnswers):
		return r.stage, false
	case !last && r.count(now, s, func(n *nodeState) bool { return n.phase < Full }) > 0:
		return r.stage, false
	}
	return r.stage.With(Committed, fmt.Sprintf("%v with all calls, %s", held.Round(time.Millisecond), r.Progress())), true
}

// lastMoment reports whether a version that gets all calls has to be committed to or left
// now. Its exposure counts from the order on, whenever it turns bad.
func (r *Rollout) lastMoment(now time.Time, s Servers) bool {
	nextReport := r.exposureOf(1, s.ReportInterval+spreadTime)
	return r.order.Deadline.Sub(now) <= commitTime || r.Room(now) < nextReport
}

// nextCommitted decides whether the roll-out is complete. The servers of the old version
// end at once then, so a node that still has a call in progress there is awaited beyond the
// deadline. One that has not reported is not.
func (r *Rollout) nextCommitted(now time.Time, s Servers) (Stage, bool) {
	unconfirmed := r.count(now, s, func(n *nodeState) bool { return !n.quiet || n.phase < Committed })
	deadlineNear := r.order.Deadline.Sub(now) <= completeMargin
	switch {
	case now.Sub(r.enteredAt) < spreadTime:
	case unconfirmed == 0:
		return r.stage.With(Complete, fmt.Sprintf("%d nodes have confirmed that no call is in progress at the old version", len(r.nodes))), true
	case deadlineNear && !r.callsInProgress(now):
		return r.stage.With(Complete, fmt.Sprintf("the deadline has come, %d nodes have not reported whether a call is in progress at the old version", unconfirmed)), true
	}
	return r.stage, false
}

// Progress describes the counts of the roll-out for events and the status.
func (r *Rollout) Progress() string {
	return fmt.Sprintf("%d calls, %d of them at the version, %d judged, %d bad, evidence %.2f of an alarm", r.calls, r.exposed, r.judge.Answers(), r.judge.Bad(), r.judge.Evidence())
}
