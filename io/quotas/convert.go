package quotas

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"tanagerchute/core/tokens"
	"tanagerchute/io/wire"
)

var (
	errUnknownKeeper = errors.New("keeper is not a member")
	// errOtherProcess is the answer to a message to an earlier process at the address.
	errOtherProcess = twirp.NewError(twirp.NotFound, "this address belongs to another node now")
)

// maxTokens bounds the numbers of tokens and of requests in a message.
const maxTokens = 1 << 20

// clampTokens converts a number of tokens or requests in a message, which another node may
// have got wrong.
func clampTokens(n int64) int { return int(min(max(n, 0), maxTokens)) }

// toRequest converts a message to its wire format.
func toRequest(m tokens.Message) *wire.WithdrawRequest {
	r := &wire.WithdrawRequest{From: m.From, To: m.To, Seq: m.Seq}
	for _, a := range m.Asks {
		r.Asks = append(r.Asks, &wire.TokenAsk{
			Account: a.Account, Stint: a.Stint, Spent: a.Spent, Held: int64(a.Held),
			Needed: int64(a.Needed), Ahead: int64(a.Ahead), Refused: int64(a.Refused),
		})
	}
	return r
}

// fromRequest converts a message from its wire format.
func fromRequest(r *wire.WithdrawRequest) tokens.Message {
	m := tokens.Message{From: r.GetFrom(), To: r.GetTo(), Seq: r.GetSeq()}
	for _, a := range r.GetAsks() {
		m.Asks = append(m.Asks, tokens.Ask{
			Account: a.GetAccount(), Stint: a.GetStint(), Spent: a.GetSpent(), Held: clampTokens(a.GetHeld()),
			Needed: clampTokens(a.GetNeeded()), Ahead: clampTokens(a.GetAhead()), Refused: clampTokens(a.GetRefused()),
		})
	}
	return m
}

// toReply converts a reply to its wire format.
func toReply(r tokens.Reply) *wire.WithdrawReply {
	out := &wire.WithdrawReply{}
	for _, g := range r.Grants {
		out.Grants = append(out.Grants, &wire.TokenGrant{
			Account: g.Account, Tokens: int64(g.Tokens), Elsewhere: g.Elsewhere, Wait: int64(g.Wait), Interval: int64(g.Interval),
			Rate: g.State.Rate, Depth: g.State.Depth, Level: g.State.Level, Part: g.State.Part,
		})
	}
	return out
}

// fromReply converts a reply from its wire format.
func fromReply(r *wire.WithdrawReply) tokens.Reply {
	var out tokens.Reply
	for _, g := range r.GetGrants() {
		out.Grants = append(out.Grants, tokens.Grant{
			Account: g.GetAccount(), Tokens: clampTokens(g.GetTokens()), Elsewhere: g.GetElsewhere(),
			Wait: time.Duration(max(g.GetWait(), 0)), Interval: time.Duration(max(g.GetInterval(), 0)),
			State: tokens.BucketState{Rate: g.GetRate(), Depth: g.GetDepth(), Level: g.GetLevel(), Part: g.GetPart()},
		})
	}
	return out
}
