package feed

import (
	"time"

	"tanagerchute"
	"tanagerchute/core/proof"
	"tanagerchute/core/vers"
)

// recordHead records a head that was read from the store. began is when the read began.
// It proves the version of the head, or the last valid one before it if it is not valid:
// an invalid version withdraws no key.
func (f *Feed) recordHead(head tanagerchute.Head, began time.Time) {
	stamp := head.Version.Stamp()
	f.replaceHead(head)
	f.proofs.headMu.Lock()
	if valid, ok := f.proofs.validBefore[stamp]; ok {
		stamp = valid
	}
	f.proofs.headMu.Unlock()
	f.addProof(proof.Proof{Stamp: stamp, At: began})
}

// replaceHead records the head that was read last, and returns the one before it.
func (f *Feed) replaceHead(head tanagerchute.Head) (before tanagerchute.Head) {
	head.Version = head.Version.WithoutContent()
	f.proofs.headMu.Lock()
	defer f.proofs.headMu.Unlock()
	before, f.proofs.head = f.proofs.head, head
	return before
}

// recordWatched records the next version that a watch has reported, or the error of one
// that can't be read. lastValid is the last valid version before it, zero if it is not
// known. recordWatched returns the last valid version after it.
func (f *Feed) recordWatched(lastValid vers.Stamp, v vers.Version, err error) vers.Stamp {
	if err != nil {
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
