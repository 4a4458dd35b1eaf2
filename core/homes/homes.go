// Package homes finds the homes of an idempotency key: the members of a data
// centre that may already have run the work under the key.
//
// Each key has a home in its data centre: the node that records the key, so
// that its work runs at most once. The home is the member with the highest rank
// for the key (see package rank), so it changes when members join or are removed. A new home must
// not run the work if an earlier home may have run it, so it first asks all
// members that may have been the home since the key was issued.
//
// The tenure of a node is the time for which it has been a member able to be a
// home, without interruption. A member whose tenure began before the key was
// issued is an anchor for the key. Every home since then had a rank at least as
// high as the anchor. Such a home is either still a member, or among the
// removals that the anchor has recorded.
//
// The new home therefore asks the other members in descending rank, down to the
// first anchor, and all removed members that they name. If it is an anchor
// itself, it asks only the removed members. If there is no anchor, or a member
// that has to be asked can't answer, it is not known whether the work has run.
//
// Nodes learn of changes at different times, so a node can be taken for the home by
// one that believes a member of higher rank to be gone, while it is there. Whoever is
// taken for the home asks all members that outrank it, whether it is an anchor or not.
//
// A member that steps down while it is up accepts no further keys, and says when the
// latest one that it accepted was issued (member.Record.HomeUntil). Nobody asks it about
// later ones, so that their work depends neither on the margin nor on whether it stays up.
//
// A node that starts learns of members that are already dead, and can't tell when they
// were removed. Until it can be a home itself it does not record them: it will be an
// anchor only for keys that are issued after that. For the earlier ones another member is
// the anchor, which has seen the removals and names them.
//
// # Usage
//
//	t := homes.New(homes.Config{Self: id, Start: now, Margin: 5 * time.Second})
//	t.SetCandidate(now, true)
//	t.RecordChange(change) // of another member
//	history, ok := t.FormerHomes(key, issued, "")
package homes

import (
	"slices"
	"time"

	"tanagerchute/core/member"
	"tanagerchute/core/rank"
)

// Config configures a Tracker.
type Config struct {
	Self  string
	Start time.Time // start of the process
	// Margin allows for the clock differences between the issuers of keys and
	// the nodes, and for the time in which an earlier home has not yet learned
	// that it has been replaced.
	Margin time.Duration
}

// maxRemovals is the maximum number of removals that are kept.
const maxRemovals = 1024

// removal is the end of a member's time as a home. The member may have been the home of
// keys that were issued before the given time.
type removal struct {
	id     string
	before time.Time
}

// Tracker is the state machine that tracks the tenure of its own node and the
// removals of members. It is not safe for concurrent use.
type Tracker struct {
	cfg       Config
	start     time.Time
	candidate bool // this node can be a home
	removals  []removal
	floor     time.Time // removals of homes of keys that were issued before it may have been dropped
}

// New returns a Tracker for a node whose tenure begins at cfg.Start.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, start: cfg.Start} }

// RestartTenure restarts the node's tenure at the given time. Until then the
// node was without a quorum or unable to be a home, and others may have been
// homes in its place.
func (t *Tracker) RestartTenure(at time.Time) {
	if at.After(t.start) {
		t.start = at
	}
}

// SetCandidate records whether this node can be a home. Its tenure restarts when it
// becomes able to.
func (t *Tracker) SetCandidate(at time.Time, can bool) {
	if can && !t.candidate {
		t.RestartTenure(at)
	}
	t.candidate = can
}

// RecordChange records the removal of another member if it can't be a home after the
// change, and may have been one before.
func (t *Tracker) RecordChange(c member.Change) {
	hasSteppedDown := !c.New.HomeUntil.IsZero()
	switch {
	case c.New.IsHomeCandidate():
	case hasSteppedDown && c.New.HomeUntil.Equal(c.Old.HomeUntil): // recorded already
	case hasSteppedDown:
		t.recordRemoval(removal{c.New.ID, c.New.HomeUntil.Add(time.Nanosecond)}) // removal.before excludes its own time
	case c.Old.ID == "" && !t.candidate: // gone before this node could be a home
	case mayHaveBeenCandidate(c):
		t.recordRemoval(removal{c.New.ID, c.At.Add(t.cfg.Margin)})
	}
}

// mayHaveBeenCandidate reports whether a member that is not a candidate after the change
// may have been one before. The node does not see each record of a member, since records
// that follow each other closely share a message.
func mayHaveBeenCandidate(c member.Change) bool {
	becameOneUnseen := !c.Old.CanBeHome && c.New.CanBeHome
	refutedDeathUnseen := c.Old.CanBeHome && c.Old.State == member.Dead && c.New.Incarnation > c.Old.Incarnation
	return c.Old.IsHomeCandidate() || becameOneUnseen || refutedDeathUnseen
}

func (t *Tracker) recordRemoval(r removal) {
	t.removals = append(t.removals, r)
	if len(t.removals) > maxRemovals {
		t.floor = later(t.floor, t.removals[0].before)
		t.removals = slices.Clone(t.removals[1:])
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Current returns the home of a key among the eligible members.
func Current(key string, members []string) string { return rank.Best("home/"+key, members) }

// RankOthers returns the members except self, in descending rank for a key.
func RankOthers(key string, members []string, self string) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == self })
	return rank.Top("home/"+key, others, len(others))
}

// Outranks reports whether a member has a higher rank for a key than self. While it is a
// candidate, it is the home rather than self: a node that takes self for the home believes it
// to be gone.
func Outranks(key, id, self string) bool {
	return rank.Score("home/"+key, id) > rank.Score("home/"+key, self)
}

// History is what a member knows of the homes of a key since its issue.
type History struct {
	// Removed lists the members with a higher rank than this one that have been
	// removed since the key was issued.
	Removed []string
	// Anchor reports whether this member's tenure began at least Config.Margin
	// before the key was issued.
	Anchor bool
}

// FormerHomes returns what this node knows of the homes of a key since its
// issue. It leaves out the asker, which knows whether it was the home. ok is
// false if removals from that time have been dropped.
func (t *Tracker) FormerHomes(key string, issued time.Time, asker string) (history History, ok bool) {
	if issued.Before(t.floor) {
		return history, false
	}
	history.Anchor = !issued.Before(t.start.Add(t.cfg.Margin))
	selfScore := rank.Score("home/"+key, t.cfg.Self)
	for _, r := range t.removals {
		if r.id == t.cfg.Self || r.id == asker || slices.Contains(history.Removed, r.id) {
			continue
		}
		if issued.Before(r.before) && rank.Score("home/"+key, r.id) > selfScore {
			history.Removed = append(history.Removed, r.id)
		}
	}
	return history, true
}
