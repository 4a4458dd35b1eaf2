package tokens_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/acct"
	"tanagerchute/core/member"
	"tanagerchute/core/tokens"
)

// pair is a holder and the keeper of all accounts, with the quota of an account that has
// saved up its burst of 10, and refills slowly.
type pair struct {
	now    time.Time
	holder *tokens.Holder
	keeper *tokens.Keeper
}

func newPair() *pair {
	p := &pair{now: time.Unix(1_800_000_000, 0), holder: tokens.NewHolder(tokens.HolderConfig{Self: "b"})}
	p.keeper = tokens.NewKeeper(tokens.KeeperConfig{
		Self: "a", Bounds: tokens.Bounds{Window: 5 * time.Second},
		Quota: func(string) acct.Quota { return acct.Quota{Rate: 0.01, Burst: 10} },
	})
	m := tokens.Members{Candidates: []string{"a"}, Present: 2}
	p.keeper.Join(p.now)
	p.keeper.SetMembers(p.now, m)
	p.holder.SetMembers(p.now, m)
	p.advance(1500 * time.Second)
	return p
}

// advance advances the time, in which both processes run.
func (p *pair) advance(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(min(500*time.Millisecond, end.Sub(p.now)))
		p.keeper.Tick(p.now)
	}
}

// ask admits a request without a token and returns the message that asks for one.
func (p *pair) ask(t *testing.T) tokens.Message {
	t.Helper()
	p.advance(30 * time.Millisecond)
	if _, ended := p.holder.Admit(p.now, "x", p.now.Add(time.Second)); ended {
		t.Fatal("the request did not wait")
	}
	due := p.holder.Due(p.now)
	if len(due) != 1 {
		t.Fatalf("%d messages are due", len(due))
	}
	return due[0]
}

// left returns the tokens that the keeper has left and those that it counts as held.
func (p *pair) left() int {
	k, _ := p.keeper.Kept(p.now, "x")
	return int(k.State.Level+0.5) + k.Held
}

// TestTokensOfLostReplyComeBack checks that tokens that were granted in a reply that was
// lost are not lost.
func TestTokensOfLostReplyComeBack(t *testing.T) {
	is := is.New(t)
	p := newPair()
	lost := p.ask(t)
	is.Equal(p.keeper.Answer(p.now, lost).Grants[0].Tokens, 1)
	p.holder.Fail(p.now, "a", lost.Seq)
	p.now = p.now.Add(30 * time.Millisecond)
	again := p.holder.Due(p.now)[0]
	reply := p.keeper.Answer(p.now, again)
	outcomes := p.holder.Receive(p.now, "a", again.Seq, reply)
	is.Equal(len(outcomes), 1)
	is.True(outcomes[0].Granted)
	is.Equal(p.left(), 10) // the token that the keeper counts as held is spent
	is.Equal(p.holder.Receive(p.now, "a", lost.Seq, reply), nil)
	is.Equal(p.keeper.Answer(p.now, lost), tokens.Reply{}) // late
}

// TestTokenOfRequestThatDidNotRunComesBack checks that the token of a request that was
// admitted and has not run comes back to the keeper.
func TestTokenOfRequestThatDidNotRunComesBack(t *testing.T) {
	is := is.New(t)
	p := newPair()
	for range 3 {
		m := p.ask(t)
		o := p.holder.Receive(p.now, "a", m.Seq, p.keeper.Answer(p.now, m))
		is.True(o[0].Granted)
		p.advance(2500 * time.Millisecond) // longer than the lease
		p.holder.GiveBack(o[0].Permit)
		p.advance(time.Second)
		for _, m := range p.holder.Due(p.now) {
			p.holder.Receive(p.now, "a", m.Seq, p.keeper.Answer(p.now, m))
		}
	}
	is.Equal(p.left(), 10)
}

// TestTokensLapse checks that a node can't spend tokens after the keeper has not answered
// it for the length of the lease.
func TestTokensLapse(t *testing.T) {
	is := is.New(t)
	p := newPair()
	m := p.ask(t)
	sentAt := p.now
	r := p.keeper.Answer(p.now, m)
	r.Grants[0].Tokens += 2
	p.now = p.now.Add(100 * time.Millisecond)
	p.holder.Receive(p.now, "a", m.Seq, r)
	_, ended := p.holder.Admit(sentAt.Add(tokens.Lease-1), "x", sentAt.Add(tokens.Lease))
	is.True(ended)
	_, ended = p.holder.Admit(sentAt.Add(tokens.Lease), "x", sentAt.Add(2*tokens.Lease))
	is.True(!ended)
}

// TestKeeperThatWasStoppedStartsEmpty checks that a process that has not run for a while
// gives out nothing that it had: another one may have taken over.
func TestKeeperThatWasStoppedStartsEmpty(t *testing.T) {
	is := is.New(t)
	p := newPair()
	m := p.ask(t)
	is.Equal(p.keeper.Answer(p.now, m).Grants[0].Tokens, 1)
	p.holder.Fail(p.now, "a", m.Seq)
	p.now = p.now.Add(1500 * time.Millisecond)
	p.holder.Expire(p.now)
	is.Equal(p.keeper.Answer(p.now, p.ask(t)).Grants[0].Tokens, 0)
}

// TestRoster checks which members count as present and as missing.
func TestRoster(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	r := tokens.NewRoster([]string{"1", "9"})
	records := []member.Record{
		{ID: "a", Addr: "1", State: member.Alive},
		{ID: "b", Addr: "2", State: member.Leaving},
		{ID: "c", Addr: "3", State: member.Suspect},
		{ID: "d", Addr: "4", State: member.Dead},
		{ID: "e", Addr: "5", State: member.Dead, Left: true},
		{ID: "f", Addr: "6", State: member.Dead, StartMs: 1},
		{ID: "g", Addr: "6", State: member.Alive, StartMs: 2}, // the process after f
	}
	m := r.Update(now, records)
	is.Equal(m, tokens.Members{Candidates: []string{"a", "c", "g"}, Present: 3, Missing: 3}) // c, d and address 9
	is.Equal(m.Part(), 0.5)
	is.Equal(r.Update(now.Add(time.Minute), records).Missing, 2) // d was lost long ago
}
