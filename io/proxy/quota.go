package proxy

import (
	"context"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/tokens"
)

// handleWithinQuota handles a call if its client account is within its quota. The
// call counts once, whatever its resends, and not at all if it has not run.
func (p *Proxy) handleWithinQuota(ctx context.Context, c call.Call, arrivedAt time.Time) (call.Reply, AttemptSummary, *rejection) {
	if p.cfg.Quotas == nil || c.Account == "" {
		return p.handleCall(ctx, c, arrivedAt)
	}
	target := c.Target
	if target.IsZero() {
		target = c.Deadline
	}
	enterStep(ctx, stepQuota)
	permit, refusal := p.cfg.Quotas.Admit(ctx, c.Account, tokens.WaitUntil(arrivedAt, target))
	if refusal != nil {
		return *refusal, AttemptSummary{}, nil
	}
	reply, summary, rej := p.handleCall(ctx, c, arrivedAt)
	if rej != nil || reply.Fate == call.NotRun {
		p.cfg.Quotas.GiveBack(permit)
	}
	return reply, summary, rej
}
