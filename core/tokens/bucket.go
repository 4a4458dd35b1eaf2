package tokens

import (
	"math"
	"time"
)

// bucket is the token bucket of one account.
type bucket struct {
	level     float64
	updatedAt time.Time
	holdings  map[string]*holding // by node
	backlog   float64             // refused requests that are expected to return
	refusals  demand              // at all nodes
	use       demand              // tokens given out
}

// holding is what a node has of an account.
type holding struct {
	stint   uint64
	spent   int64 // tokens that it reported as spent, or that have expired
	tokens  int   // that it may still spend
	expires time.Time
}

// levelPart returns the part of the tokens left that the node may hold ahead. A node that
// refuses requests needs them at once and may have all.
func (a Ask) levelPart() float64 {
	if a.Refused > 0 {
		return 1
	}
	return aheadLevelPart
}

// refill adds the tokens since the last call.
func (b *bucket) refill(now time.Time, p plan) {
	if added := p.rate * now.Sub(b.updatedAt).Seconds(); added > 0 {
		b.level += added
		b.backlog = max(b.backlog-added, 0)
		b.updatedAt = now
	}
	for id, h := range b.holdings {
		if now.After(h.expires) {
			h.spent += int64(h.tokens) // until the node says otherwise
			h.tokens = 0
		}
		if now.After(h.expires.Add(forgetHolding)) {
			delete(b.holdings, id)
		}
	}
	b.cap(p)
}

// cap removes the tokens that exceed the depth together with those at the nodes.
func (b *bucket) cap(p plan) { b.level = min(b.level, max(p.depth-b.held(), 0)) }

// account takes in what a node says it has spent and holds. What it was granted
// beyond that comes back.
func (b *bucket) account(now time.Time, from string, a Ask) *holding {
	h, ok := b.holdings[from]
	if !ok {
		h = &holding{stint: a.Stint, spent: a.Spent, tokens: a.Held}
		b.holdings[from] = h
	}
	if h.stint != a.Stint {
		h.stint, h.spent, h.tokens = a.Stint, a.Spent, a.Held
	}
	if back := h.tokens - int(a.Spent-h.spent) - a.Held; back > 0 {
		b.level += float64(back)
	}
	h.spent, h.tokens, h.expires = a.Spent, a.Held, now.Add(Lease)
	return h
}

// held returns the number of tokens at all nodes.
func (b *bucket) held() float64 {
	n := 0
	for _, h := range b.holdings {
		n += h.tokens
	}
	return float64(n)
}

// take takes up to n whole tokens out and returns their number.
func (b *bucket) take(n float64) int {
	taken := max(math.Floor(min(n, b.level)), 0)
	b.level -= taken
	return int(taken)
}

// refuse returns when n requests that get no token could pass, which is behind those
// refused before. No time is longer than the window.
func (b *bucket) refuse(n int, p plan, window time.Duration) (wait, interval time.Duration) {
	unreported := b.refusals.perPeriod(b.updatedAt) * (refillInterval / 2).Seconds()
	missing := max(b.backlog+unreported+1-b.level, 0)
	b.addReturns(n, p, window)
	wait = max(min(secondsOf(missing/p.rate), window), time.Millisecond)
	return wait, min(secondsOf(float64(b.asking())/p.rate), window)
}

// asking returns the number of nodes that have asked within the lease. Between two of
// their messages, the requests that they refuse come to the queue in turn.
func (b *bucket) asking() int {
	n := 0
	for _, h := range b.holdings {
		if b.updatedAt.Before(h.expires) {
			n++
		}
	}
	return max(n, 1)
}

// addReturns adds n refused requests to those that are expected to return. There are
// no more than can return within the window.
func (b *bucket) addReturns(n int, p plan, window time.Duration) {
	b.refusals.add(b.updatedAt, float64(n))
	b.backlog = min(b.backlog+float64(n), p.rate*window.Seconds())
}
