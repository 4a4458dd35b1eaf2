package proof

import "time"

// Ages of the newest proof, as shares of the bound, from which on a node looks for a newer
// one. The first reader of a data centre reads the store first. The others ask it.
// Whoever still has no newer proof reads the store, since it may be the only one that
// reaches it.
const (
	firstReaderShare  = 0.15
	askShare          = 0.25
	secondReaderShare = 0.3
	anyNodeShare      = 0.4
	anyNodeSpread     = 0.12 // part of the share that depends on Config.Spread
)

// Pauses as shares of the bound.
const (
	// firstReadShare and firstReadSpread delay the first read of a node that has had no
	// proof yet and is not a reader. Nodes that start together then get the proofs of
	// the readers.
	firstReadShare  = 0.1
	firstReadSpread = 0.3
	askPauseShare   = 0.1
	readPauseShare  = 0.16 // doubled after each failure
	maxPauseFactor  = 4    // on readPauseShare, for a node that is not a reader
	maxReaderFactor = 2    // the same for a reader
)

// Planner decides when a node asks another one for a proof, and when it reads the store.
type Planner struct {
	cfg      Config
	nextAsk  time.Time // not before
	nextRead time.Time // not before
	failures int       // failed reads since the last one that succeeded
}

// NewPlanner returns a planner.
func NewPlanner(cfg Config) *Planner { return &Planner{cfg: cfg} }

// Step is what a node does about the age of its proof.
type Step struct {
	Ask  bool // ask another node
	Read bool // read the store
}

// Next returns what to do at now. rank is the rank of the node among the readers of its
// data centre, negative if it is none. random is between 0 and 1.
func (p *Planner) Next(now time.Time, k *Keeper, rank int, random float64) Step {
	age, ok := k.Age(now)
	if !ok {
		age = p.cfg.Bound
		p.delayFirstRead(now, rank)
	}
	var s Step
	if rank != 0 && age >= p.cfg.share(askShare) && !now.Before(p.nextAsk) {
		s.Ask = true
		p.nextAsk = now.Add(p.jitter(p.cfg.share(askPauseShare), random))
	}
	if age >= p.readAge(rank) && !now.Before(p.nextRead) {
		s.Read = true
		p.nextRead = now.Add(p.jitter(p.readPause(rank), random))
	}
	return s
}

// delayFirstRead sets the time of the first read of a node without a proof.
func (p *Planner) delayFirstRead(now time.Time, rank int) {
	if rank < 0 && p.nextRead.IsZero() {
		p.nextRead = now.Add(p.cfg.share(firstReadShare + firstReadSpread*p.cfg.Spread))
	}
}

// ReadEnded records the outcome of a read of the store.
func (p *Planner) ReadEnded(ok bool) {
	if ok {
		p.failures = 0
		return
	}
	p.failures++
}

// readAge returns the age of the newest proof from which on a node of the given rank
// reads the store.
func (p *Planner) readAge(rank int) time.Duration {
	switch rank {
	case 0:
		return p.cfg.share(firstReaderShare)
	case 1:
		return p.cfg.share(secondReaderShare)
	}
	return p.cfg.share(anyNodeShare + anyNodeSpread*p.cfg.Spread)
}

// readPause returns the mean pause after a read.
func (p *Planner) readPause(rank int) time.Duration {
	most := maxPauseFactor
	if rank >= 0 {
		most = maxReaderFactor
	}
	factor := 1
	for range p.failures {
		factor = min(2*factor, most)
	}
	return time.Duration(factor) * p.cfg.share(readPauseShare)
}

// jitter returns a duration between 3/4 and 5/4 of d.
func (p *Planner) jitter(d time.Duration, random float64) time.Duration {
	return time.Duration((0.75 + random/2) * float64(d))
}
