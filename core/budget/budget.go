// Package budget implements the retry budget. It limits resends, the further
// attempts at a call, to a fraction of the calls.
//
// Each first attempt adds a fraction of a resend to the budget, and each resend
// takes a whole one out. If a failure hits all calls, the number of attempts
// therefore stays below 1 + ratio times the number of calls at each hop, however
// long the call chain is.
//
// # Usage
//
//	b := budget.New(budget.Config{Ratio: 0.05, Burst: 5})
//	b.Earn()
//	if b.Spend() { … resend … }
package budget

import "sync"

// Config configures a Budget.
type Config struct {
	Ratio float64 // resends earned by one first attempt
	Burst float64 // most resends that the budget can hold
}

// Budget is a token bucket of resends. It is safe for concurrent use.
type Budget struct {
	cfg    Config
	mu     sync.Mutex
	tokens float64
}

// New returns a full budget.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, tokens: cfg.Burst} }

// SetBurst changes the most resends that the budget can hold.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// Earn adds the share of a resend that a first attempt earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// Spend takes one resend and reports whether the budget held one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
