package canary

import (
	"cmp"
	"time"
)

// Phase is the phase of a roll-out.
type Phase int

// Phases. Their values are part of the protocol between nodes and of the stored records.
const (
	Waiting    Phase = iota // no server of the target version accepts calls
	Canary                  // a few calls go to the target version
	Full                    // all calls go to the target version, as long as the holder confirms it
	RolledBack              // no call goes to the target version any more
	Committed               // all calls go to the target version for good
	Complete                // no call is in progress at the old version any more
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"waiting", "canary", "full", "rolled_back", "committed", "complete"}[p]
}

// Valid reports whether p is one of the phases.
func (p Phase) Valid() bool { return p >= Waiting && p <= Complete }

// Ended reports whether nothing follows p.
func (p Phase) Ended() bool { return p == RolledBack || p == Complete }

// IsVerdict reports whether p is not left for an earlier phase.
func (p Phase) IsVerdict() bool { return p >= RolledBack }

// Intervals of reports for which a confirmation of the holder holds.
const (
	confirmedIntervals     = 4
	confirmedIntervalsFull = 2 // all calls may be at a bad version meanwhile
)

// ConfirmedFor returns how long a node may use a stage in phase p after its holder has
// confirmed it, with the given interval between its reports.
func (p Phase) ConfirmedFor(interval time.Duration) time.Duration {
	if p == Full {
		return confirmedIntervalsFull * interval
	}
	return confirmedIntervals * interval
}

// verdictRank orders the verdicts on one order. Without one, it is 0.
func (p Phase) verdictRank() int { return max(int(p)-int(Full), 0) }

// Stage is a step of a roll-out, as all nodes learn it. It is immutable.
type Stage struct {
	Order    OrderID `json:"order"`
	Service  string  `json:"service"`
	Target   string  `json:"target"`   // the ordered version
	Baseline string  `json:"baseline"` // the version in use before
	Step     uint32  `json:"step"`     // increases with each stage of the order
	Phase    Phase   `json:"phase"`
	Share    float64 `json:"share"`            // of the calls, that goes to the target version in phase Canary
	Servers  int     `json:"servers"`          // number of the target's servers that get them
	Reason   string  `json:"reason,omitempty"` // for the phase
	Holder   string  `json:"holder,omitempty"` // address of the node that decides
}

// With returns the stage after s in the given phase.
func (s Stage) With(p Phase, reason string) Stage {
	s.Phase, s.Reason = p, reason
	s.Step++
	return s
}

// WithHolder returns the stage after s that is the same but for its holder.
func (s Stage) WithHolder(addr string) Stage {
	s.Holder = addr
	s.Step++
	return s
}

// NewerThan reports whether s replaces o: it is of a later order, or of the same one and
// with a later verdict, or a later step.
func (s Stage) NewerThan(o Stage) bool {
	return cmp.Or(
		s.Order.Compare(o.Order),
		cmp.Compare(s.Phase.verdictRank(), o.Phase.verdictRank()),
		cmp.Compare(s.Step, o.Step),
	) > 0
}

// StoredFirst reports whether s must be stored before it takes effect, so that a successor
// of the holder can't be behind the nodes. To go back must not wait for the store.
func (s Stage) StoredFirst() bool { return s.Phase != RolledBack }

// Validate reports whether a stage from another node is well formed.
func (s Stage) Validate() bool {
	return s.Service != "" && len(s.Service) <= maxNameBytes && s.Target != "" && len(s.Target) <= maxNameBytes &&
		len(s.Baseline) <= maxNameBytes && s.Phase.Valid() && s.Share >= 0 && s.Share <= 1 && s.Servers >= 0
}
