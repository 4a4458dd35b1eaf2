// Package tenure decides whether a node may vouch for a key whose home it is.
//
// The home of a key is the member of its data centre with the highest rank for
// it, so the home moves when members come and go. A node that becomes the home
// of a key must not run its work if an earlier home may have done so. It knows
// who that can be: members that rank higher and were removed since the key was
// issued, and, if the node itself has started or was cut off since then, the
// member that would be the home without it. Those that can still be reached
// are asked; if one can't, nothing is known about the key.
//
// Guard covers what is not simultaneous: the clocks of those who issue keys,
// and the time in which an old home may still believe in itself.
//
// # Usage
//
//	t := tenure.New(tenure.Config{Self: id, Start: now, Guard: 5 * time.Second})
//	t.Removed(now, "hafnar-2")
//	ids := t.Ask(key, issued, up)
package tenure

import (
	"slices"
	"time"

	"tanagerchute/core/rank"
)

// Config configures a Tenure.
type Config struct {
	Self  string
	Start time.Time // start of the node
	Guard time.Duration
}

// maxRemovals bounds the removals that are remembered.
const maxRemovals = 1024

type removal struct {
	id string
	at time.Time
}

// Tenure is the state machine. It is not safe for concurrent use.
type Tenure struct {
	cfg      Config
	start    time.Time
	removals []removal
	floor    time.Time // removals before it are forgotten
}

// New returns the tenure of a node that starts.
func New(cfg Config) *Tenure { return &Tenure{cfg: cfg, start: cfg.Start} }

// Restart notes that the node was not in standing until at: others may have
// been homes in its place.
func (t *Tenure) Restart(at time.Time) {
	if at.After(t.start) {
		t.start = at
	}
}

// Removed notes that a member takes no keys any more.
func (t *Tenure) Removed(at time.Time, id string) {
	t.removals = append(t.removals, removal{id, at})
	if len(t.removals) > maxRemovals {
		t.floor = t.removals[0].at
		t.removals = slices.Clone(t.removals[1:])
	}
}

// Home returns the home of a key among the members that take keys.
func Home(key string, members []string) string { return rank.Best("home/"+key, members) }

// Ask returns the members that may have been the home of a key since it was
// issued, other than this node and the asker. ok is false if that can't be
// told. up are the members that take keys now.
func (t *Tenure) Ask(key string, issued time.Time, up []string, asker string) (ids []string, ok bool) {
	if issued.Before(t.floor.Add(t.cfg.Guard)) {
		return nil, false
	}
	bar := rank.Score("home/"+key, t.cfg.Self)
	if issued.Before(t.start.Add(t.cfg.Guard)) {
		others := slices.DeleteFunc(slices.Clone(up), func(id string) bool { return id == t.cfg.Self || id == asker })
		best := Home(key, others)
		if best == "" {
			// Nobody was there before, or all that were have gone.
			return nil, false
		}
		ids = append(ids, best)
		bar = min(bar, rank.Score("home/"+key, best))
	}
	for _, r := range t.removals {
		if r.id == t.cfg.Self || r.id == asker || slices.Contains(ids, r.id) {
			continue
		}
		if issued.Before(r.at.Add(t.cfg.Guard)) && rank.Score("home/"+key, r.id) > bar {
			ids = append(ids, r.id)
		}
	}
	return ids, true
}
