package tokens

import (
	"maps"
	"slices"
	"time"

	"tanagerchute/core/acct"
	"tanagerchute/core/rank"
)

const (
	// joinDelay is how long a process that has joined the group grants no tokens,
	// since it may not know all members yet.
	joinDelay = 300 * time.Millisecond
	// raiseDelay is how long the part of the quota that a keeper gives out stays low after
	// members have come back, since another keeper may not know it yet.
	raiseDelay = 500 * time.Millisecond
	// forgetHolding is how long after the tokens of a node have expired it can still give
	// back those of requests that have not run.
	forgetHolding = 10 * time.Second
	// pauseGap is the gap between two ticks after which others may have taken over.
	pauseGap = time.Second
	// aheadLevelPart is the part of the tokens left that one node may hold for later
	// requests, since other nodes may need the rest.
	aheadLevelPart = 0.5
)

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	Self   string // id of this node
	Bounds Bounds
	// Part is the part of each quota that belongs to this group of members, 0 for all
	// of it.
	Part float64
	// Quota returns the quota of an account by the version in force. An account that
	// does not exist has none.
	Quota func(account string) acct.Quota
	// OnKept, if set, is called when the bucket of an account is created. It must not
	// block.
	OnKept func(Kept)
}

// Keeper gives out the tokens of the accounts that this node is the keeper of.
type Keeper struct {
	cfg      KeeperConfig
	members  Members
	part     float64   // of each quota, which this keeper gives out
	raiseAt  time.Time // when part may rise to that of members
	readyAt  time.Time // zero before the node has joined
	since    time.Time // last change at which an account can have come from another keeper
	tickedAt time.Time
	accounts map[string]*bucket
	reserves map[string]*reserve
	lastSeq  map[string]uint64 // by node
}

// NewKeeper returns a keeper that gives out nothing before Join.
func NewKeeper(cfg KeeperConfig) *Keeper {
	if cfg.Part == 0 {
		cfg.Part = 1
	}
	return &Keeper{cfg: cfg, accounts: map[string]*bucket{}, reserves: map[string]*reserve{}, lastSeq: map[string]uint64{}}
}

// Join records that the node has joined the group.
func (k *Keeper) Join(now time.Time) {
	k.readyAt = now.Add(joinDelay)
	k.since = k.readyAt
}

// Keeps reports whether this node is the keeper of an account in its own view.
func (k *Keeper) Keeps(account string) bool {
	return keeperOf(account, k.members.Candidates) == k.cfg.Self
}

// keeperOf returns the keeper of an account among the candidates.
func keeperOf(account string, candidates []string) string {
	return rank.Best("quota/"+account, candidates)
}

// standbyOf returns the member that becomes the keeper of an account if the keeper
// fails, empty if there is none.
func standbyOf(account string, candidates []string) string {
	keeper := keeperOf(account, candidates)
	return keeperOf(account, slices.DeleteFunc(slices.Clone(candidates), func(id string) bool { return id == keeper }))
}

// SetMembers sets the members. The buckets of accounts that have another keeper now
// are dropped: if they come back, they start anew.
func (k *Keeper) SetMembers(now time.Time, m Members) {
	for account, b := range k.accounts {
		b.refill(now, k.plan(account)) // by the part that was valid until now
	}
	changed := !slices.Equal(m.Candidates, k.members.Candidates)
	k.members = m
	k.setPart(now)
	if !changed {
		return
	}
	if k.since.Before(now) {
		k.since = now
	}
	maps.DeleteFunc(k.accounts, func(account string, _ *bucket) bool { return !k.Keeps(account) })
	up := map[string]bool{}
	for _, id := range m.Candidates {
		up[id] = true
	}
	maps.DeleteFunc(k.lastSeq, func(id string, _ uint64) bool { return !up[id] })
}

// setPart sets the part of each quota that this keeper gives out. A lower one applies
// at once.
func (k *Keeper) setPart(now time.Time) {
	part := k.cfg.Part * k.members.Part()
	if part <= k.part || k.part == 0 {
		k.part, k.raiseAt = part, time.Time{}
		return
	}
	if k.raiseAt.IsZero() {
		k.raiseAt = now.Add(raiseDelay)
	}
	if !now.Before(k.raiseAt) {
		k.part, k.raiseAt = part, time.Time{}
	}
}

// Tick must be called several times in pauseGap. A process that has been stopped for
// longer empties its buckets.
func (k *Keeper) Tick(now time.Time) {
	if !k.tickedAt.IsZero() && now.Sub(k.tickedAt) > pauseGap {
		k.since = now
		for _, b := range k.accounts {
			b.level = 0
			b.updatedAt = now
			clear(b.holdings) // what comes back from them would fill it
		}
	}
	k.tickedAt = now
	k.forgetReserves(now)
	k.setPart(now)
}

// Answer handles a message. It returns an empty reply to one that is older than
// another one of the same node.
func (k *Keeper) Answer(now time.Time, m Message) Reply {
	k.Tick(now)
	if m.Seq <= k.lastSeq[m.From] {
		return Reply{}
	}
	k.lastSeq[m.From] = m.Seq
	r := Reply{Grants: make([]Grant, 0, len(m.Asks))}
	for _, a := range m.Asks {
		r.Grants = append(r.Grants, k.grant(now, m.From, a))
	}
	return r
}

// grant handles what a message asks for one account.
func (k *Keeper) grant(now time.Time, from string, a Ask) Grant {
	g := Grant{Account: a.Account}
	if k.readyAt.IsZero() || now.Before(k.readyAt) {
		g.Elsewhere = true
		return g
	}
	p := k.plan(a.Account)
	if !k.Keeps(a.Account) {
		g.Elsewhere = true
		g.Tokens = k.takeReserve(now, a, p)
		return g
	}
	if p.rate <= 0 {
		g.Tokens = a.Needed // the quota has ended
		return g
	}
	b := k.bucket(now, a.Account, p)
	b.refill(now, p)
	h := b.account(now, from, a)
	b.cap(p)
	g.Tokens = b.take(float64(a.Needed))
	b.addReturns(a.Refused, p, k.cfg.Bounds.Window)
	refused := a.Needed - g.Tokens
	ahead := b.take(min(float64(a.Ahead), b.level*a.levelPart(), p.ahead-b.held()))
	g.Tokens += ahead
	if refused > 0 || a.Refused > 0 && ahead < a.Ahead {
		g.Wait, g.Interval = b.refuse(refused, p, k.cfg.Bounds.Window)
	}
	h.tokens += g.Tokens
	b.use.add(now, float64(g.Tokens))
	g.State = BucketState{Rate: p.rate, Depth: p.depth, Level: b.level, Part: k.part}
	return g
}

// plan returns how the bucket of an account is filled. Its rate is 0 if the account
// has no quota.
func (k *Keeper) plan(account string) plan {
	q := k.cfg.Quota(account)
	if !q.Limited() {
		return plan{}
	}
	return k.cfg.Bounds.plan(q, k.part)
}

// bucket returns the bucket of an account. A new one has filled since the last change
// of the members, since only at such a change can an account have come from another
// keeper.
func (k *Keeper) bucket(now time.Time, account string, p plan) *bucket {
	b, ok := k.accounts[account]
	if !ok {
		b = &bucket{level: k.reserve(now, account, p).level, updatedAt: k.since, holdings: map[string]*holding{}}
		k.accounts[account] = b
		k.reserves[account].level = 0 // it is in the bucket
		b.refill(now, p)
		if k.cfg.OnKept != nil {
			k.cfg.OnKept(k.kept(now, account, b))
		}
	}
	return b
}

// secondsOf converts a number of seconds, which may be infinite, to a duration.
func secondsOf(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

// Kept is the state of one account at its keeper.
type Kept struct {
	Account string
	Quota   acct.Quota
	State   BucketState
	Use     float64 // tokens given out in the last second, an average
	Held    int     // tokens at the nodes
	Nodes   int     // that hold some
	Since   time.Time
}

// Kept returns the state of an account. It returns false if this node has given out
// no tokens for it since it became its keeper.
func (k *Keeper) Kept(now time.Time, account string) (Kept, bool) {
	b, ok := k.accounts[account]
	if !ok {
		return Kept{}, false
	}
	b.refill(now, k.plan(account))
	return k.kept(now, account, b), true
}

func (k *Keeper) kept(now time.Time, account string, b *bucket) Kept {
	p := k.plan(account)
	x := Kept{
		Account: account, Quota: k.cfg.Quota(account), Held: int(b.held()), Use: b.use.perPeriod(now), Since: k.since,
		State: BucketState{Rate: p.rate, Depth: p.depth, Level: b.level, Part: k.part},
	}
	for _, h := range b.holdings {
		if h.tokens > 0 {
			x.Nodes++
		}
	}
	return x
}
