package peer

import (
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/crash"
	"tanagerchute/core/dedup"
	"tanagerchute/core/delta"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/owner"
	"tanagerchute/core/remote"
	"tanagerchute/core/vers"
	"tanagerchute/io/wire"
)

// maxRecords bounds the number of elements in a list of one message, such as
// records, updates or events. Further elements are left out.
const maxRecords = 4096

// convertAll applies f to the elements of in, up to the first maxRecords.
func convertAll[A, B any](in []A, f func(A) B) []B {
	out := make([]B, 0, min(len(in), maxRecords))
	for _, x := range in[:min(len(in), maxRecords)] {
		out = append(out, f(x))
	}
	return out
}

// ToMembers converts records to their wire format.
func ToMembers(rs []member.Record) []*wire.Member {
	return convertAll(rs, func(r member.Record) *wire.Member {
		return &wire.Member{
			Id: r.ID, Addr: r.Addr, DataCentre: r.DataCentre, Service: r.Service,
			Incarnation: r.Incarnation, State: int32(r.State), Ready: r.Ready,
			Slots: int32(r.Slots), Since: r.StartMs, Accuser: r.Accuser, Left: r.Left, Keeper: r.CanBeHome, HomeUntil: toNanos(r.HomeUntil),
			Region: r.Region, WarmLeft: warmupLeft(r), LeftServer: r.LeftServer.ID, LeftServerStart: r.LeftServer.StartMs,
			LinkRate: r.LinkRate, ServerVersion: r.ServerVersion, Owner: toOwner(r.Owner), Counted: r.Counted,
		}
	})
}

// toOwner converts a claim to its wire format. It returns nil for the zero claim.
func toOwner(c owner.Claim) *wire.Owner {
	if !c.Known() {
		return nil
	}
	return &wire.Owner{Id: c.ID, Start: c.StartMs, Foreign: c.Foreign, Heard: c.HeardMs}
}

// fromOwner converts a claim from its wire format. It returns the zero claim for nil.
func fromOwner(o *wire.Owner) owner.Claim {
	return owner.Claim{ID: o.GetId(), StartMs: o.GetStart(), Foreign: o.GetForeign(), HeardMs: o.GetHeard()}
}

// warmupLeft returns the remaining warm-up period of a backend server, in
// nanoseconds. A message carries it in place of the end of the period, since the
// clocks of two nodes may differ.
func warmupLeft(r member.Record) int64 {
	return int64(max(time.Until(r.WarmupEnd), 0))
}

// warmupEnd returns the end of a warm-up period of which left nanoseconds remain,
// or the zero time if there is none.
func warmupEnd(left int64) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(left))
}

// toNanos returns t in Unix nanoseconds, or 0 for the zero time.
func toNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromNanos is the inverse of toNanos.
func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// FromMembers converts records from their wire format. It does not validate them.
func FromMembers(ms []*wire.Member) []member.Record {
	return convertAll(ms, func(m *wire.Member) member.Record {
		return member.Record{
			ID: m.GetId(), Addr: m.GetAddr(), DataCentre: m.GetDataCentre(), Service: m.GetService(),
			Incarnation: m.GetIncarnation(), State: member.State(m.GetState()), Ready: m.GetReady(),
			Slots: int(m.GetSlots()), StartMs: m.GetSince(), Accuser: m.GetAccuser(), Left: m.GetLeft(), CanBeHome: m.GetKeeper(), HomeUntil: fromNanos(m.GetHomeUntil()),
			Region: m.GetRegion(), WarmupEnd: warmupEnd(m.GetWarmLeft()),
			LeftServer: member.ServerID{ID: m.GetLeftServer(), StartMs: m.GetLeftServerStart()},
			LinkRate:   m.GetLinkRate(), ServerVersion: m.GetServerVersion(), Owner: fromOwner(m.GetOwner()), Counted: m.GetCounted(),
		}
	})
}

// ToStamp converts a stamp to its wire format. It returns nil for the zero stamp.
func ToStamp(s vers.Stamp) *wire.Stamp {
	if s.Number == 0 {
		return nil
	}
	return &wire.Stamp{Number: s.Number, Digest: s.Digest}
}

// FromStamp converts a stamp from its wire format. It returns the zero stamp for
// nil.
func FromStamp(s *wire.Stamp) vers.Stamp {
	return vers.Stamp{Number: s.GetNumber(), Digest: s.GetDigest()}
}

// ToVersion converts v to its wire format, with its content as a delta to base.
// If the content of base is empty, the message has the whole content of v.
func ToVersion(v, base vers.Version) (*wire.Version, error) {
	d, err := delta.Encode(base.Content, v.Content)
	if err != nil {
		return nil, err
	}
	w := &wire.Version{
		Number: v.Number, Digest: v.Digest, Parent: v.Parent, Op: v.Op, Author: v.Author,
		At: v.At.UnixNano(), Delta: d,
	}
	if len(base.Content) > 0 {
		w.Base = base.Digest
	}
	return w, nil
}

// ErrUnknownBase means that a delta has a base version that the receiver does
// not have.
var ErrUnknownBase = errors.New("base version of the delta is unknown")

// FromVersion converts a version from its wire format. It calls lookup for the
// base version of the delta, if there is one, and returns ErrUnknownBase if
// lookup does not find it. It does not verify the digest.
func FromVersion(w *wire.Version, lookup func(digest string) (vers.Version, bool)) (vers.Version, error) {
	var base vers.Version
	if w.GetBase() != "" {
		var ok bool
		if base, ok = lookup(w.GetBase()); !ok {
			return vers.Version{}, ErrUnknownBase
		}
	}
	content, err := delta.Decode(base.Content, w.GetDelta(), vers.MaxContentBytes)
	if err != nil {
		return vers.Version{}, err
	}
	return vers.Version{
		Number: w.GetNumber(), Digest: w.GetDigest(), Parent: w.GetParent(), Op: w.GetOp(),
		Author: w.GetAuthor(), At: time.Unix(0, w.GetAt()).UTC(), Content: content,
	}, nil
}

// ToSummary converts a summary to its wire format.
func ToSummary(s remote.Summary) *wire.Summary {
	w := &wire.Summary{DataCentre: s.DataCentre, Relays: s.Relays}
	for _, x := range s.Services {
		w.Services = append(w.Services, &wire.RemoteService{Name: x.Name, Slots: int32(x.Slots), Entries: x.Entries})
	}
	return w
}

// FromSummary converts a summary from its wire format and validates it.
func FromSummary(w *wire.Summary) (remote.Summary, error) {
	s := remote.Summary{DataCentre: w.GetDataCentre(), Relays: w.GetRelays()}
	for _, x := range w.GetServices() {
		s.Services = append(s.Services, remote.Service{Name: x.GetName(), Slots: int(x.GetSlots()), Entries: x.GetEntries()})
	}
	return s, s.Validate()
}

// ToUpdates converts updates about other data centres to their wire format.
func ToUpdates(us []remote.Update) []*wire.RemoteUpdate {
	return convertAll(us, func(u remote.Update) *wire.RemoteUpdate {
		return &wire.RemoteUpdate{Summary: ToSummary(u.Summary), Seq: u.Seq, Lost: u.Lost}
	})
}

// FromUpdates converts updates from their wire format. It leaves out those with
// an invalid summary.
func FromUpdates(ws []*wire.RemoteUpdate) []remote.Update {
	var out []remote.Update
	for _, w := range ws {
		s, err := FromSummary(w.GetSummary())
		if err == nil {
			out = append(out, remote.Update{Summary: s, Seq: w.GetSeq(), Lost: w.GetLost()})
		}
	}
	return out
}

// ToAnswer converts a recorded answer to its wire format.
func ToAnswer(a dedup.Answer) *wire.Answer {
	w := &wire.Answer{Status: int32(a.Status), Body: a.Body, Header: map[string]*wire.Values{}}
	for k, vs := range a.Header {
		w.Header[k] = &wire.Values{Values: vs}
	}
	return w
}

// FromAnswer converts a recorded answer from its wire format.
func FromAnswer(w *wire.Answer) dedup.Answer {
	a := dedup.Answer{Status: int(w.GetStatus()), Body: w.GetBody(), Header: map[string][]string{}}
	for k, vs := range w.GetHeader() {
		a.Header[k] = vs.GetValues()
	}
	return a
}

// ToEvents converts events to their wire format.
func ToEvents(es []event.Event) []*wire.JournalEvent {
	return convertAll(es, func(e event.Event) *wire.JournalEvent {
		return &wire.JournalEvent{
			At: e.At.UnixNano(), Node: e.Node, Kind: string(e.Kind),
			Subject: e.Subject, Trace: e.Trace, Cause: e.Cause,
		}
	})
}

// FromEvents converts events from their wire format.
func FromEvents(ws []*wire.JournalEvent) []event.Event {
	return convertAll(ws, func(w *wire.JournalEvent) event.Event {
		return event.Event{
			At: time.Unix(0, w.GetAt()), Node: w.GetNode(), Kind: event.Kind(w.GetKind()),
			Subject: w.GetSubject(), Trace: w.GetTrace(), Cause: w.GetCause(),
		}
	})
}

// ToCrashes converts what is known of works to its wire format. Times are sent as ages,
// since the clocks of nodes differ.
func ToCrashes(rs []crash.Record, now time.Time) []*wire.Crash {
	return convertAll(rs, func(r crash.Record) *wire.Crash {
		return &wire.Crash{Work: uint64(r.Work), Ends: convertAll(r.Ends, func(e crash.KnownEnd) *wire.CrashEnd {
			return &wire.CrashEnd{Id: uint64(e.ID), AgeMs: max(now.Sub(e.At).Milliseconds(), 0), Cleared: e.Cleared, HeardAgeMs: max(now.Sub(e.HeardAt).Milliseconds(), 0)}
		})}
	})
}

// FromCrashes converts what is known of works from its wire format. It leaves out works
// without an identity, and ends that lie in the future.
func FromCrashes(ws []*wire.Crash, now time.Time) []crash.Record {
	var out []crash.Record
	for _, w := range ws {
		r := crash.Record{Work: crash.Work(w.GetWork())}
		for _, e := range w.GetEnds() {
			if !isCrashAge(e.GetAgeMs()) || !isCrashAge(e.GetHeardAgeMs()) {
				continue
			}
			r.Ends = append(r.Ends, crash.KnownEnd{
				ID: crash.EndID(e.GetId()), Cleared: e.GetCleared(),
				At:      now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
				HeardAt: now.Add(-time.Duration(e.GetHeardAgeMs()) * time.Millisecond),
			})
		}
		if r.Work != 0 && len(r.Ends) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// isCrashAge reports whether an end in a message may have that age, in milliseconds.
func isCrashAge(ms int64) bool { return ms >= 0 && ms < maxCrashAge.Milliseconds() }

// maxCrashAge bounds the age of an end in a message. Older ends matter to nobody.
const maxCrashAge = 24 * time.Hour
