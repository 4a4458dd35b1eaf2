package event_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/event"
)

// TestPacerKeepsLastEvent checks that the last event on a topic is passed when its kind
// is due, with its age and the number of events that it replaces.
func TestPacerKeepsLastEvent(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	p := event.NewPacer(time.Second)
	limited := func(ms int, cause string) event.Event {
		return event.Event{At: at(ms), Kind: event.UpstreamLimited, Cause: cause}
	}
	first, ok := p.Offer("limit", limited(0, "1"))
	is.True(ok)
	is.Equal(first, limited(0, "1"))
	_, ok = p.Offer("limit", limited(100, "2"))
	is.True(!ok)
	_, ok = p.Offer("limit", limited(200, "3"))
	is.True(!ok)
	is.Equal(len(p.Due(at(999))), 0)
	is.Equal(p.Due(at(1000)), []event.Event{limited(1000, "3, held for 800ms, 1 before it not recorded")})
	is.Equal(len(p.Due(at(5000))), 0) // it is passed once
}

// TestPacerDropsOutdatedEvent guards against a held event that is passed after a newer
// one of another kind on its topic.
func TestPacerDropsOutdatedEvent(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	p := event.NewPacer(time.Second)
	offer := func(ms int, k event.Kind) bool {
		_, ok := p.Offer("limit", event.Event{At: at(ms), Kind: k})
		return ok
	}
	is.True(offer(0, event.UpstreamUnlimited))
	is.True(offer(500, event.UpstreamLimited))
	is.True(!offer(550, event.UpstreamLimited))
	is.True(!offer(600, event.UpstreamUnlimited))
	due := p.Due(at(1000))
	is.Equal(len(due), 1)
	is.Equal(due[0].Kind, event.UpstreamUnlimited)
	is.Equal(len(p.Due(at(5000))), 0)
}

// TestPacerTopicsAreIndependent checks that events on different topics do not replace
// each other, and that Flush passes all held ones in their order.
func TestPacerTopicsAreIndependent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := event.NewPacer(time.Second)
	for range 2 {
		p.Offer("limit", event.Event{At: now, Kind: event.UpstreamLimited})
		p.Offer("malformed", event.Event{At: now, Kind: event.StatementMalformed})
	}
	var kinds []event.Kind
	for _, e := range p.Flush(now.Add(time.Millisecond)) {
		kinds = append(kinds, e.Kind)
	}
	is.Equal(kinds, []event.Kind{event.UpstreamLimited, event.StatementMalformed})
	is.Equal(len(p.Due(now.Add(time.Hour))), 0)
}
