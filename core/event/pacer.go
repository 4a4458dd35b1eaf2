package event

import (
	"fmt"
	"slices"
	"time"
)

// Pacer bounds the rate of the events of each kind. Of the events on one topic that
// exceed it, the last one is held until it is due, so that the last event on a topic
// is never outdated. It is not safe for concurrent use.
type Pacer struct {
	interval time.Duration
	nextAt   map[Kind]time.Time // earliest time of the next event of a kind
	held     []heldEvent        // at most one of a topic, oldest first
}

// heldEvent is the last event on a topic. It is not recorded yet.
type heldEvent struct {
	topic   string
	event   Event
	skipped int // earlier events on the topic that it replaces
}

// NewPacer returns a pacer that passes at most one event of a kind in each interval.
func NewPacer(interval time.Duration) *Pacer {
	return &Pacer{interval: interval, nextAt: map[Kind]time.Time{}}
}

// Offer returns e and true if e is to be recorded now, at e.At. Otherwise it holds e.
// Events of several kinds may have one topic, if each of them makes the earlier ones
// outdated. Then e replaces the held event on the topic.
func (p *Pacer) Offer(topic string, e Event) (Event, bool) {
	h := heldEvent{topic: topic, event: e, skipped: p.removeHeld(topic)}
	if e.At.Before(p.nextAt[e.Kind]) {
		p.held = append(p.held, h)
		return Event{}, false
	}
	return p.pass(e.At, h), true
}

// Due returns the held events that are to be recorded at now, oldest first.
func (p *Pacer) Due(now time.Time) []Event {
	var out []Event
	var held []heldEvent
	for _, h := range p.held {
		if now.Before(p.nextAt[h.event.Kind]) {
			held = append(held, h)
			continue
		}
		out = append(out, p.pass(now, h))
	}
	p.held = held
	return out
}

// Flush returns all held events, which are to be recorded at now, oldest first. It is
// for the end of what the events are about.
func (p *Pacer) Flush(now time.Time) []Event {
	var out []Event
	for _, h := range p.held {
		out = append(out, p.pass(now, h))
	}
	p.held = nil
	return out
}

// removeHeld removes the held event on a topic. It returns the number of events that
// are not recorded then.
func (p *Pacer) removeHeld(topic string) int {
	i := slices.IndexFunc(p.held, func(h heldEvent) bool { return h.topic == topic })
	if i < 0 {
		return 0
	}
	skipped := p.held[i].skipped + 1
	p.held = slices.Delete(p.held, i, i+1)
	return skipped
}

// pass returns the event that is recorded for h at now. Its cause says how long it was
// held, and how many earlier events it replaces.
func (p *Pacer) pass(now time.Time, h heldEvent) Event {
	e := h.event
	if age := now.Sub(e.At); age > 0 {
		e.Cause += fmt.Sprintf(", held for %v", age.Round(time.Millisecond))
	}
	if h.skipped > 0 {
		e.Cause += fmt.Sprintf(", %d before it not recorded", h.skipped)
	}
	e.At = now
	p.nextAt[e.Kind] = now.Add(p.interval)
	return e
}
