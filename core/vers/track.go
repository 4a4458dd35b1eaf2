package vers

import (
	"fmt"
	"strings"

	"tanagerchute/core/acct"
	"tanagerchute/core/config"
	"tanagerchute/core/routes"
)

// Kind is the outcome of offering a version to a Tracker.
type Kind int

// Outcomes of an offer.
const (
	Applied         Kind = iota // the version is now in force
	Same                        // the version was already in force
	Stale                       // older than the version in force, ignored
	Refused                     // corrupt, or not a valid document
	Forked                      // contradicts the history of the version in force
	StoreRolledBack             // the store's newest version is older than the version in force
)

// String returns the name of the kind in logs and events.
func (k Kind) String() string {
	return [...]string{"applied", "same", "stale", "refused", "forked", "backward"}[k]
}

// Decision is the outcome of offering a version, and its cause.
type Decision struct {
	Kind  Kind
	Cause string
}

// maxHistory bounds the versions that a tracker keeps as bases of deltas.
const maxHistory = 8

// maxRefused bounds the refused versions that a tracker remembers.
const maxRefused = 64

// Tracker is the state machine of the version in force at one node.
//
// Invariant: the number of the version in force never decreases, and each
// version in force has passed Verify and Config.Compile.
type Tracker struct {
	cfg              Config
	cur              Snapshot
	history          []Version         // oldest first, up to the version in force
	refused          map[string]string // reason by the digest of the version's stamp
	refusedOrder     []string          // keys of refused, oldest first
	maxRefusedNumber uint64            // highest number of a version that failed to compile
}

// CompileFunc validates the content of a version and returns its routing table.
// Its error says why the version can't be put in force.
type CompileFunc func(v Version) (*routes.Table, error)

// Config configures a Tracker.
type Config struct {
	Compile CompileFunc
	// Chained means that each version carries the number after its parent's
	// and its parent's digest, so that the tracker can detect a fork. Versions
	// that an external system numbers are not chained.
	Chained bool
}

// DocumentConfig returns the Config for versions whose content is a
// config.Document of the given deployment.
func DocumentConfig(deployment string) Config {
	return Config{Compile: documentCompiler(deployment), Chained: true}
}

// NewTracker returns a tracker without a version.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, refused: map[string]string{}}
}

// Current returns the version in force. Its number is 0 if there is none.
func (t *Tracker) Current() Snapshot { return t.cur }

// ByDigest returns the version with the given digest, which may be the short
// digest of a stamp, if the history still holds it.
func (t *Tracker) ByDigest(digest string) (Version, bool) {
	if digest == "" {
		return Version{}, false
	}
	for _, v := range t.history {
		if v.Digest == digest || shortDigest(v.Digest) == digest {
			return v, true
		}
	}
	return Version{}, false
}

// NewestBefore returns the newest version of the history that is older than v,
// or a zero Version if there is none.
func (t *Tracker) NewestBefore(v Version) Version {
	var out Version
	for _, h := range t.history {
		if h.Number < v.Number && h.Number > out.Number {
			out = h
		}
	}
	return out
}

// ShouldFetch reports whether the version with stamp s is later than the one in
// force and has not been refused. If the digest of s is empty, because only the
// number is known, every number up to the highest refused one counts as refused.
func (t *Tracker) ShouldFetch(s Stamp) bool {
	_, refused := t.refused[s.Digest]
	if s.Digest == "" {
		refused = s.Number <= t.maxRefusedNumber
	}
	return s.After(t.cur.Version.Stamp()) && !refused
}

// IsInvalid reports whether the version with stamp s was refused because it does not
// compile, which all nodes find alike.
func (t *Tracker) IsInvalid(s Stamp) bool {
	_, refused := t.refused[s.Digest]
	return refused
}

// OfferFromStore is like Offer for the newest version of the store. A peer may
// offer an older version because it lags behind. A store that does so has lost
// an accepted version, and the decision is StoreRolledBack instead of Stale.
func (t *Tracker) OfferFromStore(v Version) Decision {
	d := t.Offer(v)
	if d.Kind == Stale {
		d.Kind = StoreRolledBack
		d.Cause = fmt.Sprintf("newest version in the store is %d, but version %d is in force", v.Number, t.cur.Version.Number)
	}
	return d
}

// Offer decides on a version from any source and puts it in force if it is
// newer, valid and not a fork. A fork is detected only if the number of the
// version is that of the version in force or, for chained versions, the next one.
func (t *Tracker) Offer(v Version) Decision {
	cur := t.cur.Version
	switch {
	case v.Number < cur.Number:
		return Decision{Stale, fmt.Sprintf("version %d is older than version %d in force", v.Number, cur.Number)}
	case v.Number == cur.Number && v.Digest == cur.Digest:
		return Decision{Same, "already in force"}
	case v.Number == cur.Number:
		return Decision{Forked, fmt.Sprintf("version %d in force has digest %.12s, the offered one has %.12s", v.Number, cur.Digest, v.Digest)}
	case cur.Number > 0 && t.cfg.Chained && v.Number == cur.Number+1 && v.Parent != cur.Digest:
		return Decision{Forked, fmt.Sprintf("version %d has parent digest %.12s, but version %d in force has digest %.12s", v.Number, v.Parent, cur.Number, cur.Digest)}
	}
	if reason, ok := t.refused[shortDigest(v.Digest)]; ok {
		return Decision{Refused, reason}
	}
	if err := v.Verify(); err != nil {
		// The content may have been corrupted in transit, so the version is not
		// remembered as refused and can be offered again.
		return Decision{Refused, err.Error()}
	}
	compiled, err := t.cfg.Compile(v)
	if err != nil {
		t.recordRefusal(shortDigest(v.Digest), err.Error())
		t.maxRefusedNumber = max(t.maxRefusedNumber, v.Number)
		return Decision{Refused, err.Error()}
	}
	t.apply(Snapshot{Version: v, Table: compiled})
	return Decision{Applied, fmt.Sprintf("follows version %d", cur.Number)}
}

// documentCompiler returns a CompileFunc for config documents. It rejects
// documents of other deployments.
func documentCompiler(deployment string) CompileFunc {
	var accounts acct.Compiler
	return func(v Version) (*routes.Table, error) {
		doc, err := config.ParseNext(&accounts, fmt.Sprintf("version %d", v.Number), v.Content)
		if err != nil {
			return nil, fmt.Errorf("version %d is not valid: %s", v.Number, strings.ReplaceAll(err.Error(), "\n", "; "))
		}
		if doc.Deployment != deployment {
			return nil, fmt.Errorf("version %d is for deployment %q, not %q", v.Number, doc.Deployment, deployment)
		}
		return doc.Compile()
	}
}

// apply puts s in force and drops the oldest version of a full history.
func (t *Tracker) apply(s Snapshot) {
	t.cur = s
	t.history = append(t.history, s.Version)
	if len(t.history) > maxHistory {
		t.history = append([]Version(nil), t.history[1:]...)
	}
}

// recordRefusal remembers the reason for which a version was refused, and
// forgets the oldest refusal if there are maxRefused.
func (t *Tracker) recordRefusal(digest, reason string) {
	if len(t.refusedOrder) == maxRefused {
		delete(t.refused, t.refusedOrder[0])
		t.refusedOrder = t.refusedOrder[1:]
	}
	t.refused[digest] = reason
	t.refusedOrder = append(t.refusedOrder, digest)
}
