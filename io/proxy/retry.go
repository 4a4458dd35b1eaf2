package proxy

import (
	"sync"

	"tanagerchute/core/budget"
)

// Default retry budget of a service at one node.
const (
	defaultRetryShare     = 0.05 // resends earned by each call
	defaultNodeRetryBurst = 10   // resends that can be saved up
)

// RetryLimits limits the resends of calls that may have reached a backend
// server.
type RetryLimits struct {
	// Share is the number of resends that each call adds to the budget, 0 for
	// the default.
	Share float64
	// Burst is the number of resends that can be saved up by all nodes together.
	// It is divided evenly among them. If it is 0, each node has a default burst
	// of its own.
	Burst float64
}

// retryBudgets holds the retry budget of each service. It is safe for concurrent
// use.
type retryBudgets struct {
	limits     RetryLimits
	countNodes func() int
	mu         sync.Mutex
	byService  map[string]*budget.Budget
}

// newRetryBudgets returns the retry budgets of one node. countNodes returns the
// number of nodes that share the burst.
func newRetryBudgets(limits RetryLimits, countNodes func() int) *retryBudgets {
	if limits.Share == 0 {
		limits.Share = defaultRetryShare
	}
	return &retryBudgets{limits: limits, countNodes: countNodes, byService: map[string]*budget.Budget{}}
}

// SpendRetry charges one resend to the retry budget of a service. It reports
// false if the budget is exhausted.
func (p *Proxy) SpendRetry(service string) bool { return p.budgets.forService(service).Spend() }

// SetRetryLimits changes the limits on resends. If they differ from the current
// ones, the budget of each service is reset.
func (p *Proxy) SetRetryLimits(limits RetryLimits) { p.budgets.setLimits(limits) }

func (b *retryBudgets) setLimits(limits RetryLimits) {
	if limits.Share == 0 {
		limits.Share = defaultRetryShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits != b.limits {
		b.limits = limits
		clear(b.byService)
	}
}

// nodeBurst returns the number of resends that this node can save up. The caller
// holds mu.
func (b *retryBudgets) nodeBurst() float64 {
	if b.limits.Burst == 0 {
		return defaultNodeRetryBurst
	}
	return max(1, b.limits.Burst/float64(max(b.countNodes(), 1)))
}

// forService returns the retry budget of a service.
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
