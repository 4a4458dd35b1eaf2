package proxy

import (
	"sync"

	"tanagerchute/core/budget"
)

// Budget of resends of a service at each node, if the settings don't say.
const (
	retryShare = 0.05
	retryBurst = 10
)

// Retry bounds the resends of calls that may have reached a backend server.
type RetryLimits struct {
	// Share is the number of resends that one call earns, 0 for the default.
	Share float64
	// Slack is the number of resends that all nodes together may have saved up,
	// 0 for a default for each node.
	Burst float64
}

// budgets holds the budget of each service. It is safe for concurrent use.
type budgets struct {
	retry RetryLimits
	nodes func() int
	mu    sync.Mutex
	by    map[string]*budget.Budget
}

// newBudgets returns budgets of a node. nodes returns the number of nodes that
// share the slack.
func newBudgets(r RetryLimits, nodes func() int) *budgets {
	if r.Share == 0 {
		r.Share = retryShare
	}
	return &budgets{retry: r, nodes: nodes, by: map[string]*budget.Budget{}}
}

// Spend takes a resend from the budget of a service, and reports whether there
// was one.
func (p *Proxy) SpendRetry(service string) bool { return p.budgets.of(service).Spend() }

// SetRetry changes the bounds on resends.
func (p *Proxy) SetRetryLimits(r RetryLimits) { p.budgets.set(r) }

func (b *budgets) set(r RetryLimits) {
	if r.Share == 0 {
		r.Share = retryShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r != b.retry {
		b.retry = r
		clear(b.by) // each service starts with a new budget
	}
}

// burst returns the resends that this node may have saved up. Its caller holds
// mu.
func (b *budgets) burst() float64 {
	if b.retry.Burst == 0 {
		return retryBurst
	}
	return max(1, b.retry.Burst/float64(max(b.nodes(), 1)))
}

// of returns the budget of a service.
func (b *budgets) of(service string) *budget.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.by[service]
	if !ok {
		x = budget.New(budget.Config{Ratio: b.retry.Share, Burst: b.burst()})
		b.by[service] = x
	}
	x.SetBurst(b.burst())
	return x
}
