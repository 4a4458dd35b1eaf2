package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tanagerchute"
	"tanagerchute/core/event"
	"tanagerchute/core/proof"
	"tanagerchute/core/vers"
	"tanagerchute/io/clock"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// maxInvalid bounds the invalid versions whose predecessors are remembered.
const maxInvalid = 64

// proofs holds what a node knows about whether its version is the newest, see package
// proof. Its times are those of package clock.
type proofs struct {
	mu       sync.Mutex
	keeper   *proof.Keeper
	versions *proof.Planner // in time for Config.InForceWithin
	keys     *proof.Planner // in time for Config.RevokeWithin, nil without it
	// checkedAt is when the last check of the store by this node that succeeded began. If the
	// newest version there is not valid, the check proves nothing, but it has missed nothing.
	checkedAt time.Time

	headMu sync.Mutex
	head   tanagerchute.Head // last one that was read, without content
	// validBefore holds the last valid version before each invalid one, for those that a
	// watch has reported in order.
	validBefore map[vers.Stamp]vers.Stamp

	lastFailed atomic.Bool // the check that ended last
	unproved   atomic.Bool // there is no proof, or the newest one is older than Config.InForceWithin
	suspended  atomic.Bool // requests with keys are refused
	asking     atomic.Bool
	checking   atomic.Int32 // checks of the store in progress
	asks       int          // asks in a row without a newer proof, accessed by askForProof only

	reads, failedReads, asked, answered atomic.Int64
}

func newProofs(cfg Config) *proofs {
	spread := spreadOf(cfg.Rand)
	keys := proof.Config{Bound: cfg.RevokeWithin, Spread: spread}
	p := &proofs{
		keeper:      proof.NewKeeper(keys),
		versions:    proof.NewPlanner(proof.Config{Bound: cfg.InForceWithin, Spread: spread}, proof.VersionSchedule()),
		validBefore: map[vers.Stamp]vers.Stamp{},
	}
	p.unproved.Store(true)
	if cfg.RevokeWithin > 0 {
		p.keys = proof.NewPlanner(keys, proof.KeySchedule())
	}
	return p
}

// spreadOf returns a random number between 0 and 1, 0 without a source.
func spreadOf(r *rand.Rand) float64 {
	if r == nil {
		return 0
	}
	return r.Float64()
}

// knownAt returns the time for which this node knows the newest version, zero if it does not. The
// caller holds mu.
func (p *proofs) knownAt() time.Time {
	if at := p.keeper.At(); at.After(p.checkedAt) {
		return at
	}
	return p.checkedAt
}

// readEnded records the outcome of a check of the store that began at began. The caller holds mu.
func (p *proofs) readEnded(began time.Time, ok bool) {
	if ok && began.After(p.checkedAt) {
		p.checkedAt = began
	}
	p.versions.ReadEnded(ok)
	if p.keys != nil {
		p.keys.ReadEnded(ok)
	}
}

// ProofStats counts what a node has done for proofs.
type ProofStats struct {
	Age         time.Duration // of the newest proof, 0 if there is none
	Reads       int64         // reads of the store
	FailedReads int64         // those of Reads that failed
	Asked       int64         // requests to other nodes
	Answered    int64         // those of Asked that were answered with a proof
}

// ProofStats returns the counts of this node.
func (f *Feed) ProofStats() ProofStats {
	_, age := f.Proof()
	p := f.proofs
	return ProofStats{age, p.reads.Load(), p.failedReads.Load(), p.asked.Load(), p.answered.Load()}
}

// putInForce puts s in force. The proofs learn of it under the same lock, so that no
// reader takes a proof of the version before for one of s.
func (f *Feed) putInForce(s *vers.Snapshot) {
	f.proofs.mu.Lock()
	defer f.proofs.mu.Unlock()
	f.proofs.keeper.Apply(s.Version.Stamp())
	f.current.Store(s)
}

// SnapshotForKeys returns the version in force with the time for which requests with
// keys may be served by it. bounded is false if that is not limited.
func (f *Feed) SnapshotForKeys() (s *vers.Snapshot, left time.Duration, bounded bool) {
	if f.cfg.RevokeWithin <= 0 {
		return f.Snapshot(), 0, false
	}
	f.proofs.mu.Lock()
	defer f.proofs.mu.Unlock()
	return f.Snapshot(), f.proofs.keeper.Until().Sub(clock.Now()), true
}

// Proof returns the stamp of the version in force with the age of the newest proof about
// it, 0 if there is none.
func (f *Feed) Proof() (vers.Stamp, time.Duration) {
	f.proofs.mu.Lock()
	defer f.proofs.mu.Unlock()
	age, ok := f.proofs.keeper.Age(clock.Now())
	if !ok {
		return f.Stamp(), 0
	}
	return f.proofs.keeper.Current(), max(age, 1)
}

// ObserveProof handles a proof in the reply of another node to a request that was sent
// at sentAt.
func (f *Feed) ObserveProof(s vers.Stamp, age time.Duration, sentAt time.Time) {
	f.addProof(proof.Passed(s, age, sentAt))
}

func (f *Feed) addProof(p proof.Proof) {
	f.proofs.mu.Lock()
	defer f.proofs.mu.Unlock()
	f.proofs.keeper.Add(p)
}

// Newest answers the request of another node for the newest proof.
func (f *Feed) Newest(context.Context, *wire.ProofRequest) (*wire.ProofReply, error) {
	s, age := f.Proof()
	return &wire.ProofReply{Version: peer.ToStamp(s), Age: int64(age)}, nil
}

// ages are how old the knowledge of a node about the newest version is.
type ages struct {
	known proofAge // that no valid version has been missed
	proof proofAge // that the version in force is the newest
	// keysLeft is the time for which requests with keys may be served, if that is bounded.
	keysLeft time.Duration
}

// proofAge is the age of a proof.
type proofAge struct {
	age    time.Duration
	proved bool // there is a proof
}

// ageOf returns the age of a proof of the time at, zero if there is none.
func ageOf(now, at time.Time) proofAge { return proofAge{now.Sub(at), !at.IsZero()} }

// String says how old the proof is.
func (a proofAge) String() string {
	if !a.proved {
		return "not proved to be the newest version yet"
	}
	return fmt.Sprintf("proved to be the newest version %v ago", a.age.Round(time.Millisecond))
}

// recordSuspension journals when requests with keys begin or cease to be refused.
func (f *Feed) recordSuspension(a ages) {
	suspended := a.keysLeft <= 0
	if f.proofs.suspended.Swap(suspended) == suspended {
		return
	}
	k, cause := event.KeysResumed, a.proof.String()
	if suspended {
		k, cause = event.KeysSuspended, f.describeForKeys(a.proof)
	}
	f.recordVersionEvent(k, f.Stamp().Number, cause)
}

// describeForKeys says how old the newest proof is, and how old it may be.
func (f *Feed) describeForKeys(a proofAge) string {
	if !a.proved {
		return a.String()
	}
	return a.String() + ", withdrawn keys must end within " + f.cfg.RevokeWithin.String()
}

// ProofAge says how old the newest proof is, for the log.
func (f *Feed) ProofAge() string {
	f.proofs.mu.Lock()
	defer f.proofs.mu.Unlock()
	return f.describeForKeys(ageOf(clock.Now(), f.proofs.keeper.At()))
}
