// Package tenure decides whether a node may vouch for a key whose home it is.
//
// The home of a key is the member of its data centre with the highest rank for
// it, so the home moves when members come and go. A node that becomes the home
// of a key must not run its work if an earlier home may have done so. Those
// that may have been the home since the key was issued are found like this:
//
// A member whose tenure reaches back to that time is an anchor. It was there all
// along, so every home since ranked above it, and is either still there or
// among the removals that the anchor has seen. So the new home asks the other
// members from the highest rank down to the first anchor, and all removed
// members that they name. If it is an anchor itself, only the removals are left
// to ask. If there is no anchor, or one of those asked can't answer, nothing is
// known about the key.
//
// Guard covers what is not simultaneous: the clocks of those who issue keys,
// and the time in which an old home may still believe in itself.
//
// # Usage
//
//	t := tenure.New(tenure.Config{Self: id, Start: now, Guard: 5 * time.Second})
//	t.Removed(now, "hafnar-2")
//	f, ok := t.Former(key, issued, "")
package tenure

import (
	"slices"
	"time"

	"tanagerchute/core/rank"
)

// Config configures a Tenure.
type Config struct {
	Self   string
	Start  time.Time // start of the node
	Margin time.Duration
}

// maxRemovals bounds the removals that are remembered.
const maxRemovals = 1024

type removal struct {
	id string
	at time.Time
}

// Tenure is the state machine. It is not safe for concurrent use.
type Tracker struct {
	cfg      Config
	start    time.Time
	removals []removal
	floor    time.Time // removals before it are forgotten
}

// New returns the tenure of a node that starts.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, start: cfg.Start} }

// Restart notes that the node was not in standing until at: others may have
// been homes in its place.
func (t *Tracker) RestartTenure(at time.Time) {
	if at.After(t.start) {
		t.start = at
	}
}

// Removed notes that a member takes no keys any more.
func (t *Tracker) RecordRemoval(at time.Time, id string) {
	t.removals = append(t.removals, removal{id, at})
	if len(t.removals) > maxRemovals {
		t.floor = t.removals[0].at
		t.removals = slices.Clone(t.removals[1:])
	}
}

// Home returns the home of a key among the members that take keys.
func Home(key string, members []string) string { return rank.Best("home/"+key, members) }

// Order returns the members from the highest rank for a key down, without
// self.
func RankOthers(key string, members []string, self string) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == self })
	return rank.Top("home/"+key, others, len(others))
}

// Former is what a member knows of the homes of a key since it was issued.
type FormerHomes struct {
	// Removed lists the members that ranked above this one and have been
	// removed since then.
	Removed []string
	// Anchor reports whether this member's tenure reaches back to then.
	Anchor bool
}

// Former returns what this node knows of the homes of a key, leaving out the
// asker, which knows about itself. ok is false if too much was forgotten.
func (t *Tracker) FormerHomes(key string, issued time.Time, asker string) (f FormerHomes, ok bool) {
	if issued.Before(t.floor.Add(t.cfg.Margin)) {
		return f, false
	}
	f.Anchor = !issued.Before(t.start.Add(t.cfg.Margin))
	own := rank.Score("home/"+key, t.cfg.Self)
	for _, r := range t.removals {
		if r.id == t.cfg.Self || r.id == asker || slices.Contains(f.Removed, r.id) {
			continue
		}
		if issued.Before(r.at.Add(t.cfg.Margin)) && rank.Score("home/"+key, r.id) > own {
			f.Removed = append(f.Removed, r.id)
		}
	}
	return f, true
}
