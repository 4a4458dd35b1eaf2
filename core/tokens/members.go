package tokens

import (
	"slices"
	"time"

	"tanagerchute/core/member"
)

// missingFor is how long a member that failed counts as missing. It may be at the
// other side of a partition, which has its part of each quota.
const missingFor = time.Minute

// Members is what a node knows of the group for the purpose of quotas. It is
// immutable.
type Members struct {
	Candidates []string // ids of the members that can be keepers, sorted
	Present    int      // members that are up and not suspected
	Missing    int      // members that may be up where this node can't reach them
}

// Part returns the part of each quota that the members at this side may use. The
// parts of two sides of a partition are at most 1 together.
func (m Members) Part() float64 {
	if m.Present == 0 {
		return 0
	}
	return float64(m.Present) / float64(m.Present+m.Missing)
}

// Roster derives Members from member records. It remembers when members were lost.
type Roster struct {
	addrs  []string // that members are expected at
	lostAt map[string]time.Time
}

// NewRoster returns a roster. A member counts as missing at each of addrs at which none
// was ever seen: a process that starts while it is cut off does not know the others.
func NewRoster(addrs []string) *Roster { return &Roster{addrs: addrs} }

// Update returns the members by the given records at now.
func (r *Roster) Update(now time.Time, records []member.Record) Members {
	latest := latestStarts(records)
	lostAt := map[string]time.Time{}
	var m Members
	for _, x := range records {
		switch {
		case x.State == member.Alive:
			m.Candidates = append(m.Candidates, x.ID)
			m.Present++
		case x.State == member.Leaving:
			m.Present++
		case x.State == member.Suspect:
			m.Candidates = append(m.Candidates, x.ID)
			m.Missing++
		case !x.Left && latest[x.Addr] <= x.StartMs:
			at, known := r.lostAt[x.ID]
			if !known {
				at = now
			}
			lostAt[x.ID] = at
			if now.Sub(at) < missingFor {
				m.Missing++
			}
		}
	}
	r.lostAt = lostAt
	for _, addr := range r.addrs {
		if _, seen := latest[addr]; !seen {
			m.Missing++
		}
	}
	slices.Sort(m.Candidates)
	return m
}

// latestStarts returns when the latest process at each address was started, in Unix
// milliseconds.
func latestStarts(records []member.Record) map[string]int64 {
	out := make(map[string]int64, len(records))
	for _, x := range records {
		out[x.Addr] = max(out[x.Addr], x.StartMs)
	}
	return out
}
