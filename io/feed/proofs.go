package feed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/event"
	"tanagerchute/core/proof"
	"tanagerchute/core/vers"
	"tanagerchute/io/clock"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

const (
	proofTick  = 100 * time.Millisecond // between two looks at the age of the proof
	askTimeout = 400 * time.Millisecond // for the proof of another node
	// maxInvalid bounds the invalid versions whose predecessors are remembered.
	maxInvalid = 64
)

// proofs holds what a node knows about whether its version is the newest, see package
// proof. Its times are those of package clock.
type proofs struct {
	mu      sync.Mutex
	keeper  *proof.Keeper
	planner *proof.Planner

	headMu sync.Mutex
	head   tanagerchute.Head // last one that was read, without content
	// validBefore holds the last valid version before each invalid one, for those that a
	// watch has reported in order.
	validBefore map[vers.Stamp]vers.Stamp

	suspended atomic.Bool // requests with keys are refused
	asking    atomic.Bool
	reading   atomic.Bool
	asks      int // asks in a row without a newer proof, accessed by ask only

	reads, failedReads, asked, answered atomic.Int64
}

func newProofs(cfg proof.Config) *proofs {
	return &proofs{keeper: proof.NewKeeper(cfg), planner: proof.NewPlanner(cfg), validBefore: map[vers.Stamp]vers.Stamp{}}
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
	if f.proofs == nil {
		return ProofStats{}
	}
	_, age := f.Proof()
	p := f.proofs
	return ProofStats{age, p.reads.Load(), p.failedReads.Load(), p.asked.Load(), p.answered.Load()}
}

// putInForce puts s in force. The proofs learn of it under the same lock, so that no
// reader takes a proof of the version before for one of s.
func (f *Feed) putInForce(s *vers.Snapshot) {
	if f.proofs == nil {
		f.current.Store(s)
		return
	}
	f.proofs.mu.Lock()
	defer f.proofs.mu.Unlock()
	f.proofs.keeper.Apply(s.Version.Stamp())
	f.current.Store(s)
}

// SnapshotForKeys returns the version in force with the time for which requests with
// keys may be served by it. bounded is false if that is not limited.
func (f *Feed) SnapshotForKeys() (s *vers.Snapshot, left time.Duration, bounded bool) {
	if f.proofs == nil {
		return f.Snapshot(), 0, false
	}
	f.proofs.mu.Lock()
	defer f.proofs.mu.Unlock()
	return f.Snapshot(), f.proofs.keeper.Until().Sub(clock.Now()), true
}

// Proof returns the stamp of the version in force with the age of the newest proof about
// it, 0 if there is none.
func (f *Feed) Proof() (vers.Stamp, time.Duration) {
	if f.proofs == nil {
		return f.Stamp(), 0
	}
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
	if f.proofs != nil {
		f.addProof(proof.Passed(s, age, sentAt))
	}
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

// runProofs keeps the proof of this node new until ctx ends, while the version in force
// has client accounts.
func (f *Feed) runProofs(ctx context.Context) {
	t := time.NewTicker(proofTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s := f.Snapshot(); s != nil && s.Table.Accounts() != nil {
			f.renewProof(ctx)
		}
	}
}

// renewProof asks for a newer proof, or reads the store, if that is due.
func (f *Feed) renewProof(ctx context.Context) {
	f.mu.Lock()
	random := f.cfg.Rand.Float64()
	f.mu.Unlock()
	p := f.proofs
	p.mu.Lock()
	now := clock.Now()
	step := p.planner.Next(now, p.keeper, int(f.rank.Load()), random)
	age, proved := p.keeper.Age(now)
	left := p.keeper.Until().Sub(now)
	p.mu.Unlock()
	f.recordSuspension(left <= 0, age, proved)
	if step.Ask && p.asking.CompareAndSwap(false, true) {
		go func() {
			defer p.asking.Store(false)
			f.askForProof(ctx)
		}()
	}
	if step.Read && f.cfg.Source != nil && p.reading.CompareAndSwap(false, true) {
		go func() {
			defer p.reading.Store(false)
			f.readProof(ctx)
		}()
	}
}

// recordSuspension journals when requests with keys begin or cease to be refused.
func (f *Feed) recordSuspension(suspended bool, age time.Duration, proved bool) {
	if f.proofs.suspended.Swap(suspended) == suspended {
		return
	}
	if !suspended {
		f.recordVersionEvent(event.KeysResumed, f.Stamp().Number, fmt.Sprintf("proved to be the newest version %v ago", age.Round(time.Millisecond)))
		return
	}
	f.recordVersionEvent(event.KeysSuspended, f.Stamp().Number, f.describeProof(age, proved))
}

// describeProof says how old the newest proof is.
func (f *Feed) describeProof(age time.Duration, proved bool) string {
	if !proved {
		return "not proved to be the newest version yet"
	}
	return fmt.Sprintf("proved to be the newest version %v ago, withdrawn keys must end within %v", age.Round(time.Millisecond), f.cfg.RevokeWithin)
}

// ProofAge says how old the newest proof is, for the log.
func (f *Feed) ProofAge() string {
	f.proofs.mu.Lock()
	age, proved := f.proofs.keeper.Age(clock.Now())
	f.proofs.mu.Unlock()
	return f.describeProof(age, proved)
}

// askForProof asks another node for its newest proof.
func (f *Feed) askForProof(ctx context.Context) {
	p := f.proofs
	addr, ok := f.proofSource(p.asks)
	p.asks++
	if !ok {
		return
	}
	p.asked.Add(1)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sentAt := clock.Now()
	reply, err := f.cfg.Client.ProofsOf(addr).Newest(ctx, &wire.ProofRequest{})
	if err != nil {
		return // the next one is asked soon
	}
	s := peer.FromStamp(reply.GetVersion())
	f.ObserveStamp(addr, s)
	if reply.GetAge() <= 0 {
		return
	}
	p.answered.Add(1)
	before := f.provedAt()
	f.ObserveProof(s, time.Duration(reply.GetAge()), sentAt)
	if f.provedAt().After(before) {
		p.asks = 0
	}
}

// provedAt returns the time of the newest proof.
func (f *Feed) provedAt() time.Time {
	f.proofs.mu.Lock()
	defer f.proofs.mu.Unlock()
	return f.proofs.keeper.At()
}

// proofSource returns the address of the node to ask in the given try: the readers of
// the data centre in turn, then any other member, then a node of another data centre
// or region.
func (f *Feed) proofSource(try int) (string, bool) {
	const tries = ReadersPerDataCentre + 2
	view := f.cfg.Fleet.View()
	switch try %= tries; {
	case try < ReadersPerDataCentre:
		if readers := view.Readers(ReadersPerDataCentre); try < len(readers) && readers[try] != f.cfg.Self {
			m, ok := view.Get(readers[try])
			return m.Addr, ok
		}
	case try == tries-1 && len(view.Remote.Relays) > 0:
		var addrs []string
		for _, relays := range view.Remote.Relays {
			addrs = append(addrs, relays...)
		}
		return f.randomOf(addrs)
	}
	var addrs []string
	for _, m := range view.Members {
		if m.IsUp() && m.ID != f.cfg.Self {
			addrs = append(addrs, m.Addr)
		}
	}
	return f.randomOf(addrs)
}

// randomOf returns one of addrs at random. ok is false if there is none.
func (f *Feed) randomOf(addrs []string) (addr string, ok bool) {
	if len(addrs) == 0 {
		return "", false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return addrs[f.cfg.Rand.IntN(len(addrs))], true
}

// readProof reads the store, and applies what is newer there.
func (f *Feed) readProof(ctx context.Context) {
	p := f.proofs
	p.reads.Add(1)
	err := f.confirmHead(ctx)
	if err != nil {
		p.failedReads.Add(1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.ReadEnded(err == nil)
}

// confirmHead proves that the head that was read last is still the newest version, or
// reads the head anew.
func (f *Feed) confirmHead(ctx context.Context) error {
	p := f.proofs
	p.headMu.Lock()
	head := p.head
	p.headMu.Unlock()
	if head.ModRevision > 0 {
		began := clock.Now()
		now, same, err := f.cfg.Source.Unchanged(ctx, head)
		if err == nil && same {
			f.recordHead(now, began)
			return nil
		}
		if err != nil && !errors.Is(err, tanagerchute.ErrEraChanged) {
			return err
		}
	}
	_, err := f.syncWithStore(ctx)
	return err
}

// recordHead records a head that was read from the store. began is when the read began.
// It proves the version of the head, or the last valid one before it if it is not valid:
// an invalid version withdraws no key.
func (f *Feed) recordHead(head tanagerchute.Head, began time.Time) {
	if f.proofs == nil {
		return
	}
	head.Version = head.Version.WithoutContent()
	stamp := head.Version.Stamp()
	f.proofs.headMu.Lock()
	f.proofs.head = head
	if valid, ok := f.proofs.validBefore[stamp]; ok {
		stamp = valid
	}
	f.proofs.headMu.Unlock()
	f.addProof(proof.Proof{Stamp: stamp, At: began})
}

// recordWatched records the next version that a watch has reported, or the error of one
// that can't be read. lastValid is the last valid version before it, zero if it is not
// known. recordWatched returns the last valid version after it.
func (f *Feed) recordWatched(lastValid vers.Stamp, v vers.Version, err error) vers.Stamp {
	if f.proofs == nil || err != nil {
		return vers.Stamp{}
	}
	s := v.Stamp()
	f.mu.Lock()
	invalid := f.tracker.IsInvalid(s)
	f.mu.Unlock()
	if !invalid {
		return s
	}
	if lastValid.Number > 0 {
		f.proofs.headMu.Lock()
		if len(f.proofs.validBefore) >= maxInvalid {
			clear(f.proofs.validBefore)
		}
		f.proofs.validBefore[s] = lastValid
		f.proofs.headMu.Unlock()
	}
	return lastValid
}
