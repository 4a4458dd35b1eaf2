package proxy

import (
	"sync"

	"tanagerchute/core/budget"
)

// Budget of resends of a service at each node, if the settings don't say.
const (
	defaultRetryShare     = 0.05
	defaultNodeRetryBurst = 10
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
type retryBudgets struct {
	limits     RetryLimits
	countNodes func() int
	mu         sync.Mutex
	byService  map[string]*budget.Budget
}

// newBudgets returns budgets of a node. nodes returns the number of nodes that
// share the slack.
func newRetryBudgets(limits RetryLimits, countNodes func() int) *retryBudgets {
	if limits.Share == 0 {
		limits.Share = defaultRetryShare
	}
	return &retryBudgets{limits: limits, countNodes: countNodes, byService: map[string]*budget.Budget{}}
}

// Spend takes a resend from the budget of a service, and reports whether there
// was one.
func (p *Proxy) SpendRetry(service string) bool { return p.budgets.forService(service).Spend() }

// SetRetry changes the bounds on resends.
func (p *Proxy) SetRetryLimits(limits RetryLimits) { p.budgets.setLimits(limits) }

func (b *retryBudgets) setLimits(limits RetryLimits) {
	if limits.Share == 0 {
		limits.Share = defaultRetryShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits != b.limits {
		b.limits = limits
		clear(b.byService) // each service starts with a new budget
	}
}

// burst returns the resends that this node may have saved up. Its caller holds
// mu.
func (b *retryBudgets) nodeBurst() float64 {
	if b.limits.Burst == 0 {
		return defaultNodeRetryBurst
	}
	return max(1, b.limits.Burst/float64(max(b.countNodes(), 1)))
}

// of returns the budget of a service.
func (b *retryBudgets) forService(service string) *budget.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	sb, ok := b.byService[service]
	if !ok {
		sb = budget.New(budget.Config{Ratio: b.limits.Share, Burst: b.nodeBurst()})
		b.byService[service] = sb
	}
	sb.SetBurst(b.nodeBurst())
	return sb
}
