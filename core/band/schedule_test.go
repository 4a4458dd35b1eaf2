package band_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/band"
	_ "tanagerchute/internal/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

const linkRate = 1.25e6 // bytes a second, 10 Mbit/s

func after(d time.Duration) time.Time { return epoch.Add(d) }

// TestScheduleProperties checks, over random transfers, that each is decided on once, that
// the bytes admitted never exceed the share of the link by more than one transfer and the
// lead, and that none is held beyond its deadline.
func TestScheduleProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := band.New(band.Config{BytesPerSecond: linkRate})
		now := epoch
		type pending struct{ deadline time.Time }
		waiting := map[string]pending{}
		var admitted int64
		var largest int64
		sizes := map[string]int64{}
		for i := range rapid.IntRange(1, 80).Draw(t, "transfers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			for _, d := range s.Advance(now) {
				if _, ok := waiting[d.ID]; !ok {
					t.Fatalf("%s was decided on twice", d.ID)
				}
				delete(waiting, d.ID)
				if d.Admitted {
					admitted += sizes[d.ID]
					s.Done(d.ID)
				}
			}
			tr := band.Transfer{
				ID: fmt.Sprint(i), Bytes: int64(rapid.IntRange(1, 300_000).Draw(t, "bytes")),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Deadline: now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "deadline")) * time.Millisecond),
			}
			sizes[tr.ID] = tr.Bytes
			largest = max(largest, tr.Bytes)
			switch v, _ := s.Offer(now, tr); v {
			case band.Admitted:
				admitted += tr.Bytes
				s.Done(tr.ID)
			case band.Waiting:
				waiting[tr.ID] = pending{tr.Deadline}
			}
			if limit := band.BulkRate(linkRate)*(now.Sub(epoch)+20*time.Millisecond).Seconds() + float64(largest); float64(admitted) > limit {
				t.Fatalf("%d bytes admitted in %v", admitted, now.Sub(epoch))
			}
			for id, p := range waiting {
				if now.After(p.deadline) {
					if len(s.Advance(now)) == 0 {
						t.Fatalf("%s waits beyond its deadline", id)
					}
					break
				}
			}
		}
	})
}

// TestOrder checks that the transfers that can be in time pass first, and among them those of
// a higher priority and an earlier target.
func TestOrder(t *testing.T) {
	is := is.New(t)
	s := band.New(band.Config{BytesPerSecond: linkRate})
	offer := func(id string, priority int, target time.Duration) {
		v, _ := s.Offer(epoch, band.Transfer{ID: id, Bytes: 50_000, Priority: priority, Target: after(target), Deadline: after(5 * time.Second)})
		is.True(v != band.Refused)
	}
	offer("first", 3, time.Second)
	offer("late", 0, time.Millisecond)
	offer("low", 2, time.Second)
	offer("later", 1, 900*time.Millisecond)
	offer("sooner", 1, 500*time.Millisecond)
	var order []string
	for now := epoch; len(order) < 4; now = now.Add(time.Millisecond) {
		for _, d := range s.Advance(now) {
			is.True(d.Admitted)
			order = append(order, d.ID)
			s.Done(d.ID)
		}
	}
	is.Equal(order, []string{"sooner", "later", "low", "late"})
}

// TestOverloadIsRefusedAtOnce checks that the transfers that could not meet their target are
// refused when they are offered, with the time until there is room, and that those that are
// taken pass in time.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := band.New(band.Config{BytesPerSecond: linkRate})
	var refused int
	var retryAfter time.Duration
	for i := range 30 {
		v, after := s.Offer(epoch, band.Transfer{ID: fmt.Sprint(i), Bytes: 60_000, Target: epoch.Add(time.Second), Deadline: epoch.Add(4 * time.Second)})
		switch v {
		case band.Admitted:
			s.Done(fmt.Sprint(i))
		case band.Refused:
			refused++
			retryAfter = after
		}
	}
	is.Equal(refused, 13) // 17 take 0.96 s
	is.True(retryAfter > 0 && retryAfter < 100*time.Millisecond)
	for now := epoch; now.Before(after(time.Second)); now = now.Add(time.Millisecond) {
		for _, d := range s.Advance(now) {
			is.True(d.Admitted)
			s.Done(d.ID)
		}
	}
	is.Equal(s.State(after(time.Second)), band.State{})
}

// TestLeaseEnds checks that transfers whose end is never reported hold back others, since the
// link may be slower than stated, but only until their leases end.
func TestLeaseEnds(t *testing.T) {
	is := is.New(t)
	s := band.New(band.Config{BytesPerSecond: linkRate})
	offer := func(now time.Time, id string) band.Verdict {
		v, _ := s.Offer(now, band.Transfer{ID: id, Bytes: 10_000, Deadline: now.Add(5 * time.Second)})
		return v
	}
	now := epoch
	for i := range 4 {
		is.Equal(offer(now, fmt.Sprint(i)), band.Admitted)
		now = now.Add(20 * time.Millisecond)
	}
	is.Equal(offer(now, "next"), band.Waiting)
	is.Equal(len(s.Advance(now.Add(500*time.Millisecond))), 0)
	is.Equal(s.Advance(now.Add(1500*time.Millisecond)), []band.Decision{{ID: "next", Admitted: true}})
}

// TestGivenUpTransferLeavesNothing checks that a transfer whose sender gives it up while it
// waits takes no room.
func TestGivenUpTransferLeavesNothing(t *testing.T) {
	is := is.New(t)
	s := band.New(band.Config{BytesPerSecond: linkRate})
	for _, id := range []string{"a", "b", "c"} {
		s.Offer(epoch, band.Transfer{ID: id, Bytes: 100_000, Deadline: after(time.Second)})
	}
	s.Done("b")
	is.Equal(s.Next(epoch), after(band.Time(100_000, s.Rate())-15*time.Millisecond))
	is.Equal(s.Advance(s.Next(epoch)), []band.Decision{{ID: "c", Admitted: true}})
}

// TestHugeTransfer checks that a length for which the time overflows is refused and leaves
// the clock as it is.
func TestHugeTransfer(t *testing.T) {
	is := is.New(t)
	is.True(band.Time(math.MaxInt64, 1) > 0)
	s := band.New(band.Config{BytesPerSecond: 1.25e6})
	now := time.Unix(0, 0)
	verdict, _ := s.Offer(now, band.Transfer{ID: "huge", Bytes: math.MaxInt64, Deadline: now.Add(time.Minute)})
	is.Equal(verdict, band.Refused)
	is.Equal(s.Wait(now), time.Duration(0))
}

// TestUnusedLinkHasNoWait checks that a schedule has room before its first message.
func TestUnusedLinkHasNoWait(t *testing.T) {
	is := is.New(t)
	is.Equal(band.New(band.Config{BytesPerSecond: linkRate}).Wait(epoch), time.Duration(0))
}

// TestHopelessTransferIsRefused checks that a transfer that can't pass before its deadline is
// refused on a free link, and does not hold it.
func TestHopelessTransferIsRefused(t *testing.T) {
	is := is.New(t)
	s := band.New(band.Config{BytesPerSecond: linkRate})
	verdict, _ := s.Offer(epoch, band.Transfer{ID: "hopeless", Bytes: 10e6, Deadline: after(time.Second)})
	is.Equal(verdict, band.Refused)
	verdict, _ = s.Offer(epoch, band.Transfer{ID: "next", Bytes: 50_000, Deadline: after(time.Second)})
	is.Equal(verdict, band.Admitted)
}
