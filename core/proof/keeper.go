package proof

import (
	"time"

	"tanagerchute/core/vers"
)

// Proof says that no later version than that of Stamp had been accepted by the store
// at a time.
type Proof struct {
	Stamp vers.Stamp
	At    time.Time
}

// Passed returns the proof in a reply that gave its age, to a request that was sent at
// sentAt.
func Passed(s vers.Stamp, age time.Duration, sentAt time.Time) Proof {
	return Proof{Stamp: s, At: sentAt.Add(-max(age, 0))}
}

// serveShare is the share of the bound for which a proof is relied on. The rest is for
// what happens between the check and the start of a request.
const serveShare = 0.9

// Config configures a Keeper and a Planner.
type Config struct {
	// Bound is the time within which a withdrawn key must end, counted from the
	// acceptance of the version that withdrew it.
	Bound time.Duration
	// Spread is a number between 0 and 1 that differs from node to node, so that nodes
	// that lose their proofs together do not all read the store at the same moment.
	Spread float64
}

// share returns a share of the bound.
func (c Config) share(s float64) time.Duration { return time.Duration(s * float64(c.Bound)) }

// Keeper holds the newest proof about the version in force at a node.
//
// Invariant: no version after the one in force had been accepted by the store at the
// time that At returns.
type Keeper struct {
	cfg     Config
	current vers.Stamp // in force
	at      time.Time  // zero if nothing is proved
	pending Proof      // about a later version, which may come into force soon
}

// NewKeeper returns a keeper without a version and without a proof.
func NewKeeper(cfg Config) *Keeper { return &Keeper{cfg: cfg} }

// Apply records that the version with stamp s came into force, which is later than the
// one before. What was proved about the one before holds for it as well: every version
// that had been accepted by then is one of those that it follows.
func (k *Keeper) Apply(s vers.Stamp) {
	k.current = s
	if k.pending.Stamp == s {
		k.at = later(k.at, k.pending.At)
	}
	if !k.pending.Stamp.After(s) {
		k.pending = Proof{}
	}
}

// Add adds a proof. One about an earlier version than that in force, or about another
// version of the same number, is ignored: the store or the node that it comes from may
// have lost what is in force here.
func (k *Keeper) Add(p Proof) {
	switch {
	case p.Stamp == k.current && p.Stamp.Number > 0:
		k.at = later(k.at, p.At)
	case !p.Stamp.After(k.current):
	case p.Stamp == k.pending.Stamp:
		k.pending.At = later(k.pending.At, p.At)
	case p.Stamp.After(k.pending.Stamp):
		k.pending = p
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Current returns the stamp of the version in force.
func (k *Keeper) Current() vers.Stamp { return k.current }

// At returns the time of the newest proof, zero if there is none.
func (k *Keeper) At() time.Time { return k.at }

// Age returns the age of the newest proof. ok is false if there is none.
func (k *Keeper) Age(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(k.at), !k.at.IsZero()
}

// Until returns the time until which requests with keys may be served by the version in
// force. It is zero if nothing is proved.
func (k *Keeper) Until() time.Time {
	if k.at.IsZero() {
		return time.Time{}
	}
	return k.at.Add(k.cfg.share(serveShare))
}
