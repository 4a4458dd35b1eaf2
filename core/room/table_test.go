package room_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/room"
	_ "tanagerchute/internal/seed"
)

const budget = 128 << 20

var epoch = time.Unix(1_800_000_000, 0)

// TestRoomNeverExceedsBudget offers, gives back and cancels random messages. What is given
// must never exceed the budget, and the share of a class must be free for it.
func TestRoomNeverExceedsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := room.New(room.Config{Bytes: budget})
		now := epoch
		held, waiting := map[uint64]room.Message{}, map[uint64]room.Message{}
		give := func(ids []uint64) {
			for _, id := range ids {
				if _, ok := waiting[id]; !ok {
					t.Fatalf("message %d is given room, and does not wait", id)
				}
				held[id] = waiting[id]
				delete(waiting, id)
			}
		}
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				n := rapid.Int64Range(1, 1<<rapid.IntRange(10, 26).Draw(t, "size")).Draw(t, "bytes")
				large := rapid.SampledFrom([]room.Class{room.Answer, room.Body}).Draw(t, "class")
				m := room.Message{ID: id, Class: room.ClassOf(large, n), Bytes: n, Until: now.Add(time.Second), Grows: rapid.Bool().Draw(t, "grows")}
				switch v, retryAfter := tab.Offer(now, m); v {
				case room.Given:
					held[id] = m
				case room.Waits:
					waiting[id] = m
				case room.Refused:
					if retryAfter <= 0 {
						t.Fatalf("refused with the time %v", retryAfter)
					}
				}
			case 2:
				for id, m := range held {
					delete(held, id)
					give(tab.Release(now, m.Class, m.Bytes))
					break
				}
			case 3:
				for id, m := range waiting {
					delete(waiting, id)
					given, ok := tab.Cancel(m.Class, id)
					if !ok {
						t.Fatal("a message that waits could not be cancelled")
					}
					give(given)
					break
				}
			}
			sum := int64(0)
			for _, m := range held {
				sum += m.Bytes
			}
			if s := tab.State(); s.Total() != sum || sum > budget || s.Waiting != len(waiting) {
				t.Fatalf("%+v, %d bytes are held, %d messages wait", s, sum, len(waiting))
			}
		}
		for len(held) > 0 { // all that wait get room in the end
			for id, m := range held {
				delete(held, id)
				give(tab.Release(now, m.Class, m.Bytes))
			}
		}
		if len(waiting) > 0 || tab.State().Total() != 0 {
			t.Fatalf("%d messages wait for ever, %d bytes are lost", len(waiting), tab.State().Total())
		}
	})
}

// TestLargeBodiesInVirtualTime replays five bodies of 60 MiB that arrive at the same time at a
// node of 284 MB, each held for 0.4 s, beside small calls and answers. The small ones and the
// answers are given room at once, and the bodies one after the other or refused.
func TestLargeBodiesInVirtualTime(t *testing.T) {
	is := is.New(t)
	const body, hold, bodies = 60 << 20, 400 * time.Millisecond, 5
	tab := room.New(room.Config{Bytes: budget})
	ends := map[uint64]time.Time{}
	served, refused := 0, 0
	for id := range uint64(bodies) {
		switch v, _ := tab.Offer(epoch, room.Message{ID: id, Class: room.Body, Bytes: body, Until: epoch.Add(750 * time.Millisecond)}); v {
		case room.Given:
			ends[id] = epoch.Add(hold)
		case room.Refused:
			refused++
		}
	}
	is.Equal(len(ends), 1)
	for step := range 300 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		id := uint64(1000 + step)
		v, _ := tab.Offer(now, room.Message{ID: id, Class: room.Small, Bytes: 2000, Until: now})
		is.Equal(v, room.Given)
		v, _ = tab.Offer(now, room.Message{ID: id + 1000, Class: room.Answer, Bytes: 8 << 20, Until: now})
		is.Equal(v, room.Given)
		tab.Release(now, room.Small, 2000)
		tab.Release(now, room.Answer, 8<<20)
		for id, end := range ends {
			if now.Before(end) {
				continue
			}
			served++
			delete(ends, id)
			for _, next := range tab.Release(now, room.Body, body) {
				ends[next] = now.Add(hold)
			}
		}
		for id := range uint64(bodies) { // callers wait for half of their time
			if step == 75 {
				if _, ok := tab.Cancel(room.Body, id); ok {
					refused++
				}
			}
		}
	}
	t.Logf("%d of %d served, %d refused", served, bodies, refused)
	is.Equal(served+refused, bodies)
	is.True(served >= 2)
}

// TestTooLongIsRefusedAtOnce checks what never fits, and that the time to return follows the
// pace at which room was given back.
func TestTooLongIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	tab := room.New(room.Config{Bytes: 32 << 20})
	v, _ := tab.Offer(epoch, room.Message{ID: 1, Class: room.Body, Bytes: 60 << 20, Until: epoch.Add(time.Hour)})
	is.Equal(v, room.TooLong)
	const n = 20 << 20
	for i := range 4 {
		now := epoch.Add(time.Duration(i) * 300 * time.Millisecond)
		v, _ = tab.Offer(now, room.Message{ID: 2, Class: room.Body, Bytes: n, Until: now})
		is.Equal(v, room.Given)
		if i < 3 {
			tab.Release(now.Add(290*time.Millisecond), room.Body, n)
		}
	}
	now := epoch.Add(950 * time.Millisecond)
	v, retryAfter := tab.Offer(now, room.Message{ID: 3, Class: room.Body, Bytes: n, Until: now.Add(100 * time.Millisecond)})
	is.Equal(v, room.Refused)
	is.True(retryAfter > 100*time.Millisecond && retryAfter < time.Second)
}

// TestGrowingMessagesDontWaitForEachOther guards against bodies without a declared length
// that each hold a part of the memory and wait for the rest until their callers give up.
func TestGrowingMessagesDontWaitForEachOther(t *testing.T) {
	is := is.New(t)
	tab := room.New(room.Config{Bytes: budget})
	const part, whole = 16 << 20, 60 << 20
	until := epoch.Add(time.Second)
	for id := range uint64(5) {
		v, _ := tab.Offer(epoch, room.Message{ID: id, Class: room.Body, Bytes: part, Until: until, Grows: true})
		is.Equal(v, room.Given)
	}
	v, _ := tab.Offer(epoch, room.Message{ID: 10, Class: room.Body, Bytes: whole, Until: until, Grows: true})
	is.Equal(v, room.Waits)
	v, _ = tab.Offer(epoch, room.Message{ID: 20, Class: room.Body, Bytes: 1 << 20, Until: until})
	is.Equal(v, room.Waits)
	var given []uint64
	for id := range uint64(4) { // the others are refused, and give back what they hold
		v, _ := tab.Offer(epoch, room.Message{ID: 11 + id, Class: room.Body, Bytes: whole, Until: until, Grows: true})
		is.Equal(v, room.Refused)
		given = append(given, tab.Release(epoch, room.Body, part)...)
	}
	is.Equal(given, []uint64{10, 20})
}
