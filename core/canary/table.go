package canary

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Split tells how the calls to a service are divided between the versions of its servers.
// The zero Split does not divide them.
type Split struct {
	Baseline string  // version that gets all other calls
	Target   string  // version that gets the share, empty if no roll-out is running
	Share    float64 // 0 to 1
	// Abandoned is the version that a roll-out has left for good, empty for none. Its
	// servers get calls only if there are no others.
	Abandoned string
	// Servers is the number of servers of the target that get the share, 0 for all.
	Servers int
}

// Versions holds the slots of the servers of one service that accept calls, by version.
type Versions map[string]int

// maxServices bounds the services of a Table.
const maxServices = 256

// entry is what a Table knows of a service.
type entry struct {
	stage       Stage     // zero if there was no order
	confirmedBy time.Time // end of the holder's last confirmation of the stage
	inUse       string    // version that InUse returned last, empty if there is none yet
}

// Table holds the newest stages that a node knows. Nodes exchange their stages; Merge is
// commutative and idempotent. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// get returns the entry of a service, nil if the table is full.
func (t *Table) get(service string) *entry {
	e := t.entries[service]
	if e == nil && len(t.entries) < maxServices {
		e = &entry{}
		t.entries[service] = e
	}
	return e
}

// Merge adds a stage and reports whether it is newer than the one that is known. It is valid
// until the given time unless its holder confirms it later.
func (t *Table) Merge(s Stage, until time.Time) bool {
	e := t.get(s.Service)
	if e == nil || !s.Validate() || e.stage.Service != "" && !s.NewerThan(e.stage) {
		return false
	}
	e.stage, e.confirmedBy = s, until
	return true
}

// Confirm records that the holder of a service's stage confirms it until the given time.
func (t *Table) Confirm(s Stage, until time.Time) {
	if e := t.entries[s.Service]; e != nil && !e.stage.NewerThan(s) && !s.NewerThan(e.stage) {
		e.confirmedBy = until
	}
}

// Stage returns the newest stage of a service.
func (t *Table) Stage(service string) (Stage, bool) {
	e := t.entries[service]
	if e == nil || e.stage.Service == "" {
		return Stage{}, false
	}
	return e.stage, true
}

// Stages returns all stages, in the order of their services.
func (t *Table) Stages() []Stage {
	var out []Stage
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		if s, ok := t.Stage(name); ok {
			out = append(out, s)
		}
	}
	return out
}

// Running returns the stages that are not the last of their order.
func (t *Table) Running() []Stage {
	return slices.DeleteFunc(t.Stages(), func(s Stage) bool { return s.Phase.Ended() })
}

// ConfirmedBy returns until when the holder has confirmed the stage of a service.
func (t *Table) ConfirmedBy(service string) time.Time {
	if e := t.entries[service]; e != nil {
		return e.confirmedBy
	}
	return time.Time{}
}

// InUse returns the version of a service that is in use without an order, given the versions
// of its servers. It stays the same until its servers hold less than 1/replacedPart of the
// slots, not counting those of a version that a roll-out has left. So it is still the old one
// when some of the old servers are away as an order comes.
func (t *Table) InUse(service string, vs Versions) string {
	e := t.get(service)
	if e == nil {
		return ""
	}
	abandoned, ok := e.applyStage()
	var names []string
	total := 0
	for _, v := range slices.SortedFunc(maps.Keys(vs), naturalOrder) {
		if ok && v == abandoned && len(vs) > 1 {
			continue
		}
		names = append(names, v)
		total += vs[v]
	}
	replaced := replacedPart*vs[e.inUse] < total && (e.stage.Service == "" || e.stage.Phase.Ended())
	if _, ok := vs[e.inUse]; !ok || replaced {
		e.inUse = firstInUse(names, vs, total)
	}
	return e.inUse
}

// applyStage sets the version in use to the one by the stage, if there is a stage. It
// returns the version that the roll-out has left for good. ok is false if there is none.
func (e *entry) applyStage() (abandoned string, ok bool) {
	switch s := e.stage; {
	case s.Service == "":
		return "", false
	case s.Phase >= Committed:
		e.inUse = s.Target
		return s.Baseline, s.Target != s.Baseline
	default:
		e.inUse = s.Baseline
		return s.Target, s.Phase == RolledBack
	}
}

// replacedPart is the divisor of the slots of a service: a version with less than that part
// has been replaced.
const replacedPart = 3

// firstInUse returns the first of names that has not been replaced, and the one with the most
// slots if there is none.
func firstInUse(names []string, vs Versions, total int) string {
	most := ""
	for i, v := range names {
		if replacedPart*vs[v] >= total {
			return v
		}
		if i == 0 || vs[v] > vs[most] {
			most = v
		}
	}
	return most
}

// naturalOrder compares versions such as v9 and v10 by their length first.
func naturalOrder(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) }

// Split returns the split of the calls to a service at now.
func (t *Table) Split(now time.Time, service string, vs Versions) Split {
	t.InUse(service, vs) // records the version in use, which a later order replaces
	s, ok := t.Stage(service)
	switch {
	case !ok, s.Phase.Ended() && s.Target == s.Baseline:
		return Split{}
	case s.Phase == Complete:
		return Split{Abandoned: s.Baseline}
	case s.Phase == RolledBack:
		return Split{Abandoned: s.Target}
	}
	split := Split{Baseline: s.Baseline, Target: s.Target}
	confirmed := now.Before(t.entries[service].confirmedBy)
	switch {
	case s.Phase == Committed, s.Phase == Full && confirmed:
		split.Share = 1
	case s.Phase == Canary && confirmed:
		split.Share, split.Servers = s.Share, s.Servers
	}
	return split
}
