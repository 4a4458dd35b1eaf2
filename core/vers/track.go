package vers

import (
	"fmt"
	"strings"

	"tanagerchute/core/config"
	"tanagerchute/core/table"
)

// Kind is the kind of a decision about an offered version.
type Kind int

// Kinds of decisions.
const (
	Applied         Kind = iota // the version is now in force
	Same                        // it was in force already
	Stale                       // an older version, ignored
	Refused                     // damaged, or not a valid document
	Forked                      // it contradicts the history of the version in force
	StoreRolledBack             // the store offers less than it once accepted
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"applied", "same", "stale", "refused", "forked", "backward"}[k]
}

// Decision is what was decided about an offered version, and why.
type Decision struct {
	Kind  Kind
	Cause string
}

// historySize is the number of versions a tracker keeps to serve deltas.
const maxHistory = 8

// maxRefusals bounds the refused versions that a tracker remembers.
const maxRefused = 64

// Tracker is the state machine of the version in force at one node.
//
// Invariant: the number of the version in force never decreases, and each
// version in force has passed Verify and config.Parse.
type Tracker struct {
	cfg              Config
	cur              Snapshot
	history          []Version         // the newest last, the one in force included
	refused          map[string]string // reason by digest of the stamp
	refusedOrder     []string          // digests in refused, oldest first
	maxRefusedNumber uint64            // highest number refused
}

// Compile checks the content of a version and returns its table, or an error
// that says why it can't be put in force.
type CompileFunc func(v Version) (*table.Table, error)

// Config configures a Tracker.
type Config struct {
	Compile CompileFunc
	// Chained says that numbers are dense and that each version names the
	// digest of the one before it, so that forks can be told. Versions that
	// someone else numbers are not chained.
	Chained bool
}

// Own returns the settings for the product's own documents of a deployment.
func DocumentConfig(deployment string) Config {
	return Config{Compile: documentCompiler(deployment), Chained: true}
}

// NewTracker returns a tracker without a version.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, refused: map[string]string{}}
}

// Current returns the version in force. Its number is 0 if there is none.
func (t *Tracker) Current() Snapshot { return t.cur }

// Kept returns the version with the given digest, or the digest of a stamp, if
// it is still held.
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

// Before returns the newest version held that is older than v, a zero Version
// if there is none.
func (t *Tracker) NewestBefore(v Version) Version {
	var out Version
	for _, h := range t.history {
		if h.Number < v.Number && h.Number > out.Number {
			out = h
		}
	}
	return out
}

// Wants reports whether the version named by s should be fetched. The digest
// of s may be empty if only the number is known.
func (t *Tracker) ShouldFetch(s Stamp) bool {
	_, refused := t.refused[s.Digest]
	if s.Digest == "" {
		refused = s.Number <= t.maxRefusedNumber
	}
	return s.After(t.cur.Version.Stamp()) && !refused
}

// OfferHead decides on a version that the store holds as its newest. Unlike a
// peer, which may simply be behind, a store that offers less than the version
// in force has lost an accepted version.
func (t *Tracker) OfferFromStore(v Version) Decision {
	d := t.Offer(v)
	if d.Kind == Stale {
		d.Kind = StoreRolledBack
		d.Cause = fmt.Sprintf("store holds version %d, version %d is in force", v.Number, t.cur.Version.Number)
	}
	return d
}

// Offer decides on a version from any source and puts it in force if it is to
// be applied.
func (t *Tracker) Offer(v Version) Decision {
	cur := t.cur.Version
	switch {
	case v.Number < cur.Number:
		return Decision{Stale, fmt.Sprintf("version %d is older than version %d in force", v.Number, cur.Number)}
	case v.Number == cur.Number && v.Digest == cur.Digest:
		return Decision{Same, "in force already"}
	case v.Number == cur.Number:
		return Decision{Forked, fmt.Sprintf("version %d has digest %.12s here and %.12s there", v.Number, cur.Digest, v.Digest)}
	case cur.Number > 0 && t.cfg.Chained && v.Number == cur.Number+1 && v.Parent != cur.Digest:
		return Decision{Forked, fmt.Sprintf("version %d has parent %.12s, version %d in force is %.12s", v.Number, v.Parent, cur.Number, cur.Digest)}
	}
	if reason, ok := t.refused[shortDigest(v.Digest)]; ok {
		return Decision{Refused, reason}
	}
	if err := v.Verify(); err != nil {
		// The digest is not the digest of what was sent: the damage may be on
		// the way, so the version itself is not remembered as refused.
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

// ownDocument compiles the product's own documents.
func documentCompiler(deployment string) CompileFunc {
	return func(v Version) (*table.Table, error) {
		doc, err := config.Parse(fmt.Sprintf("version %d", v.Number), v.Content)
		if err != nil {
			return nil, fmt.Errorf("version %d is not valid: %s", v.Number, strings.ReplaceAll(err.Error(), "\n", "; "))
		}
		if doc.Deployment != deployment {
			return nil, fmt.Errorf("version %d is for deployment %q, not %q", v.Number, doc.Deployment, deployment)
		}
		return doc.Compile()
	}
}

func (t *Tracker) apply(s Snapshot) {
	t.cur = s
	t.history = append(t.history, s.Version)
	if len(t.history) > maxHistory {
		t.history = append([]Version(nil), t.history[1:]...)
	}
}

func (t *Tracker) recordRefusal(digest, reason string) {
	if len(t.refusedOrder) == maxRefused {
		delete(t.refused, t.refusedOrder[0])
		t.refusedOrder = t.refusedOrder[1:]
	}
	t.refused[digest] = reason
	t.refusedOrder = append(t.refusedOrder, digest)
}
