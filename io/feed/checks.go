package feed

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/event"
	"tanagerchute/core/proof"
	"tanagerchute/io/clock"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// checkersPerDataCentre is the number of nodes of a data centre that look for versions of which
// no watch has told: the readers, and those that read the store if the readers can't.
const checkersPerDataCentre = 5

const (
	proofTick  = 100 * time.Millisecond // between two looks at the age of the proof
	askTimeout = 400 * time.Millisecond // for the proof of another node
	// maxChecks bounds the checks of the store in progress. One that gets no answer must not
	// delay the next ones, which use another connection.
	maxChecks = 3
)

// runChecks looks for versions of which no watch has told, until ctx ends. A watch that hears
// nothing looks like a store without changes, so what counts is the age of the newest proof that
// the version in force is the newest. The first reader of the data centre reads the store in
// time, a few others ask it, and read the store themselves if it has no newer proof. With client
// accounts whose keys must end within a bound, every node does so, in time for that.
func (f *Feed) runChecks(ctx context.Context) {
	t := time.NewTicker(proofTick)
	defer t.Stop()
	var settled rankFilter
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		rank := settled.update(time.Now(), f.checkerRank(), f.isIsolated())
		if s := f.Snapshot(); s != nil {
			f.renewProof(ctx, rank, s.Table.Accounts() != nil)
		}
	}
}

// checkerRank returns the rank of this node among the checkers of its data centre, counted from
// 0, or noRank if it is none. The readers rank first.
func (f *Feed) checkerRank() int {
	if rank := f.readerRank(); rank >= 0 || !f.joined.Load() {
		return rank
	}
	return f.cfg.Fleet.View().ReaderRank(checkersPerDataCentre)
}

// renewProof asks for a newer proof, or reads the store, if that is due for a node of the given
// rank among the checkers.
func (f *Feed) renewProof(ctx context.Context, rank int, hasAccounts bool) {
	keysBounded := f.proofs.keys != nil && hasAccounts
	step, a := f.nextStep(rank, keysBounded)
	if rank >= 0 {
		f.recordUnproved(a.known)
	}
	if keysBounded {
		f.recordSuspension(a)
	}
	if step.Ask {
		f.startAsk(ctx)
	}
	if step.Read && f.cfg.Source != nil {
		f.startCheck(ctx)
	}
}

// nextStep returns what is due, and how old the knowledge of this node is.
func (f *Feed) nextStep(rank int, keysBounded bool) (proof.Step, ages) {
	f.mu.Lock()
	random := f.cfg.Rand.Float64()
	f.mu.Unlock()
	p := f.proofs
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	var step proof.Step
	if rank >= 0 {
		step = p.versions.Next(now, p.knownAt(), rank, random)
	}
	if keysBounded {
		step = step.Or(p.keys.Next(now, p.keeper.At(), int(f.rank.Load()), random))
	}
	return step, ages{known: ageOf(now, p.knownAt()), proof: ageOf(now, p.keeper.At()), keysLeft: p.keeper.Until().Sub(now)}
}

// startAsk asks another node for its newest proof in the background, unless that is in progress.
func (f *Feed) startAsk(ctx context.Context) {
	if !f.proofs.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.proofs.asking.Store(false)
		f.askForProof(ctx)
	}()
}

// startCheck reads the store in the background, unless maxChecks reads are in progress.
func (f *Feed) startCheck(ctx context.Context) {
	if f.proofs.checking.Add(1) > maxChecks {
		f.proofs.checking.Add(-1)
		return
	}
	go func() {
		defer f.proofs.checking.Add(-1)
		f.check(ctx)
	}()
}

// recordUnproved journals when the version in force begins or ceases to be one of which this
// node can't tell in time whether it is the newest.
func (f *Feed) recordUnproved(a proofAge) {
	unproved := !a.proved || a.age > f.cfg.InForceWithin
	if f.proofs.unproved.Swap(unproved) == unproved {
		return
	}
	k, cause := event.VersionProved, a.String()
	if unproved {
		k, cause = event.VersionUnproved, a.String()+", versions must be in force within "+f.cfg.InForceWithin.String()
	}
	f.recordVersionEvent(k, f.Stamp().Number, cause)
}

// check reads the store, and applies what is newer there.
func (f *Feed) check(ctx context.Context) {
	p := f.proofs
	p.reads.Add(1)
	began := clock.Now()
	rev, err := f.confirmHead(ctx)
	if err != nil {
		p.failedReads.Add(1)
	}
	p.mu.Lock()
	p.readEnded(began, err == nil)
	p.mu.Unlock()
	failedBefore := p.lastFailed.Swap(err != nil)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		f.reportFailedCheck(err)
	default:
		if failedBefore && f.storeLost.Load() {
			f.ReadAgain()
		}
		if f.cfg.OnChecked != nil {
			f.cfg.OnChecked(rev)
		}
	}
}

// reportFailedCheck ends the watch of a reader, which may be as dead as the check was.
func (f *Feed) reportFailedCheck(err error) {
	if !f.isReader.Load() {
		return
	}
	select {
	case f.checkFailed <- err:
	default: // another one has been reported
	}
}

// forgetFailedCheck drops the error of a check that failed before the watch is established.
func (f *Feed) forgetFailedCheck() {
	select {
	case <-f.checkFailed:
	default:
	}
}

// confirmHead proves that the head that was read last is still the newest version, or
// reads the head anew. It returns the revision of the store.
func (f *Feed) confirmHead(ctx context.Context) (tanagerchute.Revision, error) {
	p := f.proofs
	p.headMu.Lock()
	head := p.head
	p.headMu.Unlock()
	if head.ModRevision > 0 {
		began := clock.Now()
		now, same, err := f.cfg.Source.Unchanged(ctx, head)
		if err == nil && same {
			f.recordHead(now, began)
			return now.Revision, nil
		}
		if err != nil && !errors.Is(err, tanagerchute.ErrEraChanged) {
			return now.Revision, err
		}
	}
	head, err := f.syncWithStore(ctx)
	return head.Revision, err
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

// provedAt returns the time of the newest proof.
func (f *Feed) provedAt() time.Time {
	f.proofs.mu.Lock()
	defer f.proofs.mu.Unlock()
	return f.proofs.keeper.At()
}
