package proxy

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"tanagerchute/core/author"
	"tanagerchute/core/call"
	"tanagerchute/core/crash"
	"tanagerchute/core/pick"
	"tanagerchute/core/routes"
	"tanagerchute/io/wire"
)

// Headers of calls and answers between nodes. Each holds a protobuf message in
// base64.
const (
	headerCall   = "Tanager-Call"
	headerAnswer = "Tanager-Answer"
)

// encodeHeader returns m in the form of a header value.
func encodeHeader(m proto.Message) string {
	b, err := proto.Marshal(m)
	if err != nil {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// decodeHeader decodes the header value s into m.
func decodeHeader(s string, m proto.Message) error {
	b, err := base64.RawStdEncoding.DecodeString(s)
	if err != nil {
		return errors.Wrap(err, "decode metadata as base64")
	}
	if err := proto.Unmarshal(b, m); err != nil {
		return errors.Wrap(err, "decode metadata as protobuf")
	}
	return nil
}

// callMeta returns the metadata of a call for the next node. Deadlines are sent
// as the time left, since the clocks of nodes differ.
func callMeta(c call.Call, now time.Time) *wire.CallMeta {
	return &wire.CallMeta{
		Id: c.ID, Attempt: c.Attempt, Issued: c.Issued.UnixNano(), Key: c.Key,
		Service: c.Service, Class: c.Class, Priority: int32(c.Priority), AtMostOnce: c.AtMostOnce,
		TimeLeft: int64(c.Deadline.Sub(now)), WaitLeft: int64(c.WaitUntil.Sub(now)),
		Version: c.Version, From: c.From, Depth: int32(c.Depth), Mode: wire.Mode(c.Mode),
		Path: c.Path, Host: c.Host, TargetLeft: nanosUntil(c.Target, now), Notice: encodeNotice(c.Notice, now),
		Work: uint64(c.Work), Account: c.Account,
	}
}

// encodeNotice returns the message for n, nil if nothing was heard.
func encodeNotice(n call.ServerNotice, now time.Time) *wire.ServerNotice {
	if n.Server == "" || n.HeardAt.IsZero() {
		return nil
	}
	return &wire.ServerNotice{Server: n.Server, Start: n.StartMs, RateLimit: n.RateLimit, Leaving: n.Leaving, Age: int64(now.Sub(n.HeardAt))}
}

// decodeNotice is the inverse of encodeNotice.
func decodeNotice(m *wire.ServerNotice, now time.Time) call.ServerNotice {
	if m.GetServer() == "" {
		return call.ServerNotice{}
	}
	return call.ServerNotice{
		Server: m.GetServer(), StartMs: m.GetStart(), RateLimit: m.GetRateLimit(), Leaving: m.GetLeaving(),
		HeardAt: now.Add(-time.Duration(max(m.GetAge(), 0))),
	}
}

// nanosUntil returns the time until at in nanoseconds, 0 if at is zero.
func nanosUntil(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return int64(at.Sub(now))
}

// timeAfterNanos is the inverse of nanosUntil.
func timeAfterNanos(left int64, now time.Time) time.Time {
	if left == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(left))
}

// decodeCall returns the call that m describes, without its method, header and
// body.
func decodeCall(m *wire.CallMeta, now time.Time) (call.Call, error) {
	p := routes.Priority(m.GetPriority())
	if m.GetId() == "" || m.GetAttempt() == "" || p < 0 || p >= routes.NumPriorities {
		return call.Call{}, errors.New("call metadata has no id, no attempt or no valid priority")
	}
	return call.Call{
		ID: m.GetId(), Attempt: m.GetAttempt(), Issued: time.Unix(0, m.GetIssued()), Key: m.GetKey(),
		Service: m.GetService(), Class: m.GetClass(), Priority: p, AtMostOnce: m.GetAtMostOnce(),
		Deadline: now.Add(time.Duration(m.GetTimeLeft())), WaitUntil: now.Add(time.Duration(m.GetWaitLeft())),
		Version: m.GetVersion(), From: m.GetFrom(), Depth: int(m.GetDepth()), Mode: call.Mode(m.GetMode()),
		Path: m.GetPath(), Host: m.GetHost(), Target: timeAfterNanos(m.GetTargetLeft(), now),
		Notice: decodeNotice(m.GetNotice(), now), Work: crash.Work(m.GetWork()), Account: m.GetAccount(),
	}, nil
}

// answerMeta returns the metadata of a reply for the node that sent the call.
func answerMeta(c call.Call, r call.Reply) *wire.AnswerMeta {
	return &wire.AnswerMeta{
		Id: c.ID, Attempt: c.Attempt, Fate: int32(r.Fate), Cause: r.Cause, Version: r.Version,
		InFlight: int32(r.Load.InFlight), Queued: int32(r.Load.Queued), Limit: int32(r.Load.Limit),
		Length: int64(len(r.Body)), Digest: xxhash.Sum64(r.Body), RetryAfter: int64(r.RetryAfter), Node: r.Node, Below: r.NestedFailure,
		Service: int64(r.Load.ServiceTime), Shed: r.Shed, Notice: encodeNotice(r.Notice, time.Now()),
		RateLimit: r.Load.RateLimit, QuotaWait: int64(r.Load.QuotaWait),
		LinkWait: int64(r.Load.LinkWait), LinkOutWait: int64(r.Load.LinkOutWait), Acceptance: r.Load.Acceptance,
	}
}

// judgeReply returns an error if the answer that another node passes on is not shown to be
// one of its backend server to c, see package author.
func (p *Proxy) judgeReply(c call.Call, r call.Reply) error {
	if r.Fate != call.Answered {
		return nil
	}
	a := p.cfg.Dialect.ParseResponse(&http.Response{StatusCode: r.Status, Header: r.Header}).Author(r.Status)
	a.Asked, a.FirstOnly = c.ID, true
	if v, reason := author.Judge(p.cfg.Dialect.AnswerRules(), a); v != author.Answered {
		return errors.Errorf("the answer with status %d is not one of the backend server to the call: %s", r.Status, reason)
	}
	return nil
}

// decodeReply returns the reply in res and body, or an error if it is not a
// complete answer to c.
func decodeReply(c call.Call, res *http.Response, body []byte) (call.Reply, error) {
	var m wire.AnswerMeta
	if err := decodeHeader(res.Header.Get(headerAnswer), &m); err != nil {
		return call.Reply{}, err
	}
	switch {
	case m.GetId() != c.ID || m.GetAttempt() != c.Attempt:
		return call.Reply{}, errors.New("answer belongs to another call")
	case m.GetLength() != int64(len(body)) || m.GetDigest() != xxhash.Sum64(body):
		return call.Reply{}, errors.New("answer does not match its length or digest")
	case m.GetFate() < 0 || m.GetFate() > int32(call.Unknown):
		return call.Reply{}, errors.New("answer has an invalid fate")
	}
	h := res.Header
	h.Del(headerAnswer)
	status := 0 // that of a refusal is of the message between nodes only
	if call.Fate(m.GetFate()) == call.Answered {
		status = res.StatusCode
	}
	return call.Reply{
		Fate: call.Fate(m.GetFate()), Status: status, Header: h, Body: body, Cause: m.GetCause(),
		RetryAfter: time.Duration(m.GetRetryAfter()), Node: m.GetNode(), Version: m.GetVersion(), Replied: true, NestedFailure: m.GetBelow(),
		Load: pick.Load{
			InFlight: int(m.GetInFlight()), Queued: int(m.GetQueued()), Limit: int(m.GetLimit()),
			ServiceTime: time.Duration(m.GetService()), RateLimit: m.GetRateLimit(), QuotaWait: time.Duration(m.GetQuotaWait()),
			LinkWait: time.Duration(m.GetLinkWait()), LinkOutWait: time.Duration(m.GetLinkOutWait()), Acceptance: validShare(m.GetAcceptance()),
		},
		Shed: m.GetShed(), Notice: decodeNotice(m.GetNotice(), time.Now()),
	}, nil
}

// validShare returns a share that another node has reported, 0 for unknown if it is none.
func validShare(share float64) float64 {
	if share >= 0 && share <= 1 {
		return share
	}
	return 0 // also if it is not a number
}

// hopHeaders are the hop-by-hop headers, which are not forwarded. Content-Length
// is among them, since it is set anew for the forwarded body.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns a copy of h without its hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, f := range h["Connection"] {
		out.Del(f)
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}
