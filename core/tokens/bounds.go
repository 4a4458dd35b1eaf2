package tokens

import (
	"time"

	"tanagerchute/core/acct"
)

// Bounds is how far all nodes together may exceed a quota: in each Window, the
// requests of an account may be Rate times Window plus Burst, times 1+Overshoot, plus
// Slack.
type Bounds struct {
	Window    time.Duration
	Overshoot float64 // share of the quota
	Slack     float64 // requests
}

// Lease is how long tokens can be spent after the last message that the keeper has
// answered.
const Lease = 2 * time.Second

// Parts of the tolerance, which is what Bounds adds to a quota in a window.
const (
	// changePart is left to changes of the keeper and to its standby.
	changePart = 0.5
	// initialPart is in the bucket of a new keeper, and what the standby may grant in
	// its place in a window.
	initialPart = 0.125
)

// aheadPart is the part of the depth of a bucket that may be at nodes that do not
// need it at once.
const aheadPart = 0.5

// plan is how a keeper fills the bucket of an account.
type plan struct {
	rate    float64 // tokens a second
	depth   float64 // most tokens in the bucket and at the nodes together
	ahead   float64 // most tokens at the nodes that are not needed at once
	initial float64 // tokens in the bucket of a new keeper
}

// plan returns how a keeper with the given part of the quota fills the bucket.
func (b Bounds) plan(q acct.Quota, part float64) plan {
	tolerance := b.Overshoot*(q.Rate*b.Window.Seconds()+q.Burst) + b.Slack
	depth := max(q.Burst+tolerance*(1-changePart), 1) * part
	return plan{
		rate:    q.Rate * part,
		depth:   depth,
		ahead:   depth * aheadPart,
		initial: tolerance * initialPart * part,
	}
}
