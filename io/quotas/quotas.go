package quotas

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tanagerchute/core/acct"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/tokens"
	"tanagerchute/io/fleet"
	"tanagerchute/io/peer"
	"tanagerchute/io/timer"
	"tanagerchute/io/wire"
)

const (
	tickInterval = 100 * time.Millisecond // of checks for changed members and events that were held
	// messageTimeout is when a message to a keeper is given up, so that the next one is
	// sent. The standby of a slow keeper is asked before.
	messageTimeout = 400 * time.Millisecond
	// eventInterval is the shortest time between two events of a kind.
	eventInterval = time.Second
	// rosterInterval is how often the members are counted anew if none has changed.
	rosterInterval = time.Second
	// unknownRetryAfter is the time to come back for a request whose keeper did not
	// answer. A failed keeper is replaced within a few of them.
	unknownRetryAfter = 300 * time.Millisecond
)

// Outcomes that are counted.
const (
	outcomeHeld      = "held"             // a request spent a token that the node held
	outcomeWithdrawn = "withdrawn"        // a request waited for its token
	outcomeStandby   = "standby"          // a request got its token from the standby of a keeper that did not answer
	outcomeExceeded  = "exceeded"         // a request was refused, the account is over its quota
	outcomeUnknown   = "unknown"          // a request was refused, the keeper did not answer in time
	outcomeCanceled  = "canceled"         // the caller left while the request waited
	outcomeGivenBack = "given_back"       // an admitted request has not run, and its token is free again
	outcomeSent      = "message_sent"     // to the keeper of an account or its standby, another node
	outcomeFailed    = "message_failed"   // one of those sent got no reply
	outcomeAnswered  = "message_answered" // this node has answered another one, as the keeper
)

// Outcomes returns the outcomes that Config.Count is called with.
func Outcomes() []string {
	return []string{
		outcomeHeld, outcomeWithdrawn, outcomeStandby, outcomeExceeded, outcomeUnknown, outcomeCanceled, outcomeGivenBack,
		outcomeSent, outcomeFailed, outcomeAnswered,
	}
}

// Config configures Quotas.
type Config struct {
	Self   string // id of the node
	Bounds tokens.Bounds
	Groups int      // number of membership groups, each of which has an equal part of each quota
	Addrs  []string // addresses at which members of the group are expected
	// View returns what the node knows of the fleet.
	View func() *fleet.View
	// Quota returns the quota of an account by the version in force.
	Quota   func(account string) acct.Quota
	Client  *peer.Client
	Journal *event.Journal
	// Count counts an outcome of a request or a message.
	Count func(outcome string)
}

// Quotas admits requests. It is safe for concurrent use.
type Quotas struct {
	cfg Config
	wg  sync.WaitGroup // messages in flight

	mu       sync.Mutex // guards the fields below
	holder   *tokens.Holder
	keeper   *tokens.Keeper
	roster   *tokens.Roster
	view     *fleet.View // that the members were counted by
	countAt  time.Time   // when the members are counted anew
	waiting  map[uint64]chan tokens.Outcome
	timer    *time.Timer // runs advance when the holder has something to do
	events   *event.Pacer
	stopping bool
}

// New returns quotas that admit nothing before Run.
func New(cfg Config) *Quotas {
	q := &Quotas{
		cfg:     cfg,
		holder:  tokens.NewHolder(tokens.HolderConfig{Self: cfg.Self}),
		roster:  tokens.NewRoster(cfg.Addrs),
		waiting: map[uint64]chan tokens.Outcome{},
		events:  event.NewPacer(eventInterval),
	}
	q.keeper = tokens.NewKeeper(tokens.KeeperConfig{
		Self: cfg.Self, Bounds: cfg.Bounds, Part: 1 / float64(max(cfg.Groups, 1)), Quota: cfg.Quota, OnKept: q.recordKept,
	})
	q.timer = timer.NewStopped(q.advance)
	return q
}

// Join records that the node has joined the group and has a version in force.
func (q *Quotas) Join() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.keeper.Join(time.Now())
}

// Run follows the members until ctx ends. It returns when the messages in flight have
// ended.
func (q *Quotas) Run(ctx context.Context) {
	defer q.wg.Wait()
	defer q.stop()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		q.tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// stop ends the sending of messages.
func (q *Quotas) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopping = true
	q.timer.Stop()
}

// tick follows the members and records the events that were held.
func (q *Quotas) tick(now time.Time) {
	q.mu.Lock()
	q.keeper.Tick(now)
	if v := q.cfg.View(); v != q.view || !now.Before(q.countAt) {
		q.view, q.countAt = v, now.Add(rosterInterval)
		m := q.roster.Update(now, v.Members)
		q.keeper.SetMembers(now, m)
		q.holder.SetMembers(now, m)
	}
	due := q.events.Due(now)
	q.mu.Unlock()
	for _, e := range due {
		q.cfg.Journal.Add(e)
	}
	q.advance()
}

// Admit admits a request of an account, or returns its refusal. It waits for a token
// until the given time.
func (q *Quotas) Admit(ctx context.Context, account string, until time.Time) (tokens.Permit, *call.Reply) {
	if !q.cfg.Quota(account).Limited() {
		return tokens.Permit{}, nil
	}
	q.mu.Lock()
	o, ended := q.holder.Admit(time.Now(), account, until)
	if ended {
		q.mu.Unlock()
		return q.conclude(o, outcomeHeld)
	}
	ch := make(chan tokens.Outcome, 1)
	q.waiting[o.Ticket] = ch
	q.mu.Unlock()
	q.advance()
	select {
	case o = <-ch:
		return q.conclude(o, outcomeWithdrawn)
	case <-ctx.Done():
		return q.abandon(o, ch)
	}
}

// abandon ends the wait of a request whose caller has left.
func (q *Quotas) abandon(o tokens.Outcome, ch chan tokens.Outcome) (tokens.Permit, *call.Reply) {
	q.mu.Lock()
	delete(q.waiting, o.Ticket)
	q.holder.Forget(o.Account, o.Ticket)
	q.mu.Unlock()
	select {
	case o = <-ch:
		q.GiveBack(o.Permit)
	default:
	}
	q.cfg.Count(outcomeCanceled)
	r := call.Refuse(call.NotRun, call.CauseCanceled, 0)
	return tokens.Permit{}, &r
}

// conclude counts the outcome of a request and returns its permit or its refusal. One that
// is granted is counted as admitted says, unless a standby has granted it.
func (q *Quotas) conclude(o tokens.Outcome, admitted string) (tokens.Permit, *call.Reply) {
	switch {
	case o.Standby:
		q.cfg.Count(outcomeStandby)
		q.recordEvent(event.QuotaUnanswered, o.Account, "keeper="+o.Keeper+" granted=standby")
		return o.Permit, nil
	case o.Granted:
		q.cfg.Count(admitted)
		return o.Permit, nil
	case o.Exceeded:
		q.cfg.Count(outcomeExceeded)
		quota := q.cfg.Quota(o.Account)
		q.recordEvent(event.QuotaExceeded, o.Account, fmt.Sprintf(
			"rate=%g burst=%g keeper=%s part=%.3f keeper_rate=%.1f tokens=%.1f word_age=%v retry_after=%v",
			quota.Rate, quota.Burst, o.Keeper, o.State.Part, o.State.Rate, o.State.Level,
			time.Since(o.HeardAt).Round(time.Millisecond), o.RetryAfter.Round(time.Millisecond)))
		r := call.Refuse(call.NotRun, call.CauseQuotaExceeded, o.RetryAfter)
		return tokens.Permit{}, &r
	}
	q.cfg.Count(outcomeUnknown)
	q.recordEvent(event.QuotaUnanswered, o.Account, "keeper="+o.Keeper)
	r := call.Refuse(call.NotRun, call.CauseQuotaUnknown, unknownRetryAfter)
	return tokens.Permit{}, &r
}

// GiveBack gives back the token of a request that has not run. A zero permit has none.
func (q *Quotas) GiveBack(p tokens.Permit) {
	if p == (tokens.Permit{}) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.GiveBack(p)
	q.cfg.Count(outcomeGivenBack)
}

// recordEvent adds an event about an account to the journal, or holds it if there was
// one of its kind just now.
func (q *Quotas) recordEvent(kind event.Kind, account, cause string) {
	e := event.Event{At: time.Now(), Kind: kind, Subject: account, Cause: cause}
	q.mu.Lock()
	e, now := q.events.Offer(account, e)
	q.mu.Unlock()
	if now {
		q.cfg.Journal.Add(e)
	}
}

// recordKept journals that this node is the keeper of an account. It is called with
// the lock held.
func (q *Quotas) recordKept(k tokens.Kept) {
	q.cfg.Journal.Add(event.Event{At: time.Now(), Kind: event.QuotaKept, Subject: k.Account, Cause: describe(k)})
}

// Describe returns the state of an account that this node is the keeper of, as an
// event that is not in the journal.
func (q *Quotas) Describe(account string) (event.Event, bool) {
	now := time.Now()
	q.mu.Lock()
	k, ok := q.keeper.Kept(now, account)
	q.mu.Unlock()
	if !ok {
		return event.Event{}, false
	}
	return event.Event{At: now, Node: q.cfg.Self, Kind: event.QuotaKept, Subject: account, Cause: "now: " + describe(k)}, true
}

// describe returns the state of an account as text.
func describe(k tokens.Kept) string {
	return fmt.Sprintf("rate=%g burst=%g part=%.3f keeper_rate=%.1f tokens=%.1f use=%.1f held=%d nodes=%d since=%s",
		k.Quota.Rate, k.Quota.Burst, k.State.Part, k.State.Rate, k.State.Level, k.Use, k.Held, k.Nodes, k.Since.Format(time.RFC3339Nano))
}

// advance ends the waits that are over and sends the messages that are due.
func (q *Quotas) advance() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopping {
		return
	}
	now := time.Now()
	q.finish(q.holder.Expire(now))
	for due := q.holder.Due(now); len(due) > 0; due = q.holder.Due(now) {
		for _, m := range due {
			q.send(now, m)
		}
	}
	if next := q.holder.Next(); !next.IsZero() {
		q.timer.Reset(max(time.Until(next), time.Millisecond))
	}
}

// finish tells requests that their wait has ended. The caller holds mu.
func (q *Quotas) finish(outcomes []tokens.Outcome) {
	for _, o := range outcomes {
		if ch, ok := q.waiting[o.Ticket]; ok {
			delete(q.waiting, o.Ticket)
			ch <- o
		}
	}
}

// send sends a message in the background. This node answers its own at once. The caller
// holds mu.
func (q *Quotas) send(now time.Time, m tokens.Message) {
	if m.To == q.cfg.Self {
		q.finish(q.holder.Receive(now, m.To, m.Seq, q.keeper.Answer(now, m)))
		return
	}
	q.wg.Go(func() {
		reply, err := q.withdraw(m)
		q.mu.Lock()
		if err != nil {
			q.holder.Fail(time.Now(), m.To, m.Seq)
		} else {
			q.finish(q.holder.Receive(time.Now(), m.To, m.Seq, reply))
		}
		q.mu.Unlock()
		q.advance()
	})
}

// withdraw sends a message to its keeper and returns the reply.
func (q *Quotas) withdraw(m tokens.Message) (tokens.Reply, error) {
	keeper, ok := q.cfg.View().Get(m.To)
	if !ok {
		return tokens.Reply{}, errUnknownKeeper
	}
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	q.cfg.Count(outcomeSent)
	reply, err := q.cfg.Client.QuotasOf(keeper.Addr).Withdraw(ctx, toRequest(m))
	if err != nil {
		q.cfg.Count(outcomeFailed)
		return tokens.Reply{}, err
	}
	return fromReply(reply), nil
}

// Withdraw implements wire.Quotas.
func (q *Quotas) Withdraw(_ context.Context, r *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	if r.GetTo() != q.cfg.Self {
		return nil, errOtherProcess
	}
	q.cfg.Count(outcomeAnswered)
	q.mu.Lock()
	reply := q.keeper.Answer(time.Now(), fromRequest(r))
	q.mu.Unlock()
	return toReply(reply), nil
}
