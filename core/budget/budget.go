// Package budget limits resends to a share of the traffic.
//
// Every first attempt earns a fraction of a resend, every resend spends a
// whole one. Under a failure that hits all calls the attempts therefore stay
// below (1 + share) times the calls, at each hop, however deep the chain.
//
// # Usage
//
//	b := budget.New(budget.Config{Share: 0.05, Burst: 5})
//	b.Earn()
//	if b.Spend() { … resend … }
package budget

import "sync"

// Config configures a Budget.
type Config struct {
	Ratio float64 // resends earned by one first attempt
	Burst float64 // most resends that can be saved up
}

// Budget counts resends. It is safe for concurrent use.
type Budget struct {
	cfg    Config
	mu     sync.Mutex
	tokens float64
}

// New returns a budget that starts with its burst saved up.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, tokens: cfg.Burst} }

// SetBurst changes the most resends that can be saved up.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// Earn notes a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// Spend takes one resend and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
