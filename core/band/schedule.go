package band

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of a schedule.
const (
	// bulkShare is the share of the link that bulk transfers use. The rest is for
	// small messages, protocol overhead and what the node does not see.
	bulkShare = 0.85
	// pieceTime is the time for which the link is busy with one piece of a bulk
	// transfer. A small message waits for about one piece.
	pieceTime = 5 * time.Millisecond
	// minPieceBytes keeps the overhead of each piece small beside it.
	minPieceBytes = 4 << 10
	// grantLead is how long before the end of the previous transfer the next one is
	// admitted. Its sender has to learn of it, and the first byte to come.
	grantLead = 15 * time.Millisecond
	// maxUnfinished bounds the admitted transfers whose end was not reported.
	maxUnfinished = 4
	// leaseFactor times the time that an admitted transfer takes at the granted rate, and
	// leaseMargin more, is when it loses its place.
	leaseFactor = 4
	leaseMargin = time.Second
	// maxTime bounds a computed time, so that sums of several do not overflow.
	maxTime = 24 * time.Hour
)

// BulkRate returns the rate of bulk transfers on a link, both in bytes a second.
func BulkRate(link float64) float64 { return bulkShare * link }

// PieceBytes returns the size of the pieces in which a bulk transfer is written to a
// link, which is also the largest size of a message that is not bulk. The rate of the
// link is in bytes a second.
func PieceBytes(link float64) int64 {
	return max(minPieceBytes, int64(link*pieceTime.Seconds()))
}

// Time returns how long n bytes take at a rate in bytes a second, 0 if that is 0, for
// a rate that is not bounded. It is at most maxTime.
func Time(n int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(math.Ceil(float64(n)/rate*float64(time.Second)), float64(maxTime)))
}

// Config configures a Schedule.
type Config struct {
	BytesPerSecond float64 // rate of the link in this direction
}

// Transfer is a bulk transfer that waits for the link.
type Transfer struct {
	ID       string
	Call     string // id of the call that it belongs to, for the journal
	Bytes    int64
	Priority int // lower ones first
	// Target is by when it should have passed, zero if only the deadline counts.
	Target time.Time
	// Deadline is by when it must have passed, zero for a transfer that is never
	// refused.
	Deadline time.Time
	// Detached is set if the transfer waits for the rate alone: it neither counts as
	// unfinished nor waits for those that are. So a slow other end of it holds back no
	// other transfer, and it can hold a place on another link without a deadlock.
	Detached bool
}

// Verdict is the immediate result of an offer.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota
	Waiting
	Refused
)

// Decision admits or refuses a transfer that has been waiting.
type Decision struct {
	ID       string
	Admitted bool
	// RetryAfter is the time until there is room for a transfer of its size, if it is
	// refused.
	RetryAfter time.Duration
}

// waiter is a transfer that waits, with its place in the order of arrival.
type waiter struct {
	Transfer
	arrival uint64
}

// lease is the place of an admitted transfer whose end was not reported.
type lease struct {
	id        string
	expiresAt time.Time
}

// Schedule schedules one direction of a link. It is not safe for concurrent use.
type Schedule struct {
	rate     float64   // of bulk transfers, bytes a second
	piece    int64     // bytes
	freeAt   time.Time // when all that was admitted has passed, the virtual clock
	waiters  []waiter  // in the order in which they pass, as of the last call
	leases   []lease
	arrivals uint64
}

// New returns a schedule without transfers.
func New(cfg Config) *Schedule {
	return &Schedule{rate: BulkRate(cfg.BytesPerSecond), piece: PieceBytes(cfg.BytesPerSecond)}
}

// Rate returns the rate of bulk transfers in bytes a second.
func (s *Schedule) Rate() float64 { return s.rate }

// Bulk reports whether a message of n bytes is a bulk transfer.
func (s *Schedule) Bulk(n int64) bool { return n > s.piece }

// Pass accounts for n bytes that pass without admission.
func (s *Schedule) Pass(now time.Time, n int64) {
	s.freeAt = later(s.freeAt, now).Add(Time(n, s.rate))
}

// Offer offers a bulk transfer to the schedule. A transfer that does not start at once
// waits until Advance decides on it. The returned duration is the time until there is
// room for a refused one.
func (s *Schedule) Offer(now time.Time, t Transfer) (Verdict, time.Duration) {
	w := waiter{Transfer: t, arrival: s.arrivals}
	s.arrivals++
	s.expireLeases(now)
	s.sort(now)
	if over := s.endAt(now, 0, t).Sub(t.Deadline); !t.Deadline.IsZero() && over > 0 {
		return Refused, over // even if it were the next one, it would pass too late
	}
	if len(s.waiters) == 0 && s.hasRoom(now, t) {
		s.admit(now, t)
		return Admitted, 0
	}
	at, _ := slices.BinarySearchFunc(s.waiters, w, func(a, b waiter) int { return s.compare(now, a, b) })
	if over := s.endAt(now, at, t).Sub(s.bound(now, t)); !t.Deadline.IsZero() && over > 0 {
		return Refused, over
	}
	s.waiters = slices.Insert(s.waiters, at, w)
	return Waiting, 0
}

// Advance decides on the transfers that wait: it admits those that the link has room
// for, and refuses those that can't pass before their deadlines any more.
func (s *Schedule) Advance(now time.Time) []Decision {
	s.expireLeases(now)
	s.sort(now)
	out := s.refuseLate(now)
	for {
		i := slices.IndexFunc(s.waiters, func(w waiter) bool { return s.hasRoom(now, w.Transfer) })
		if i < 0 {
			return out
		}
		t := s.waiters[i].Transfer
		s.waiters = slices.Delete(s.waiters, i, i+1)
		s.admit(now, t)
		out = append(out, Decision{ID: t.ID, Admitted: true})
	}
}

// Next returns when Advance has to be called again, unless Done is called before. It is
// the zero time if no transfer waits.
func (s *Schedule) Next(now time.Time) time.Time {
	if len(s.waiters) == 0 {
		return time.Time{}
	}
	next := s.freeAt.Add(-grantLead)
	if len(s.leases) >= maxUnfinished && !slices.ContainsFunc(s.waiters, func(w waiter) bool { return w.Detached }) {
		first := slices.MinFunc(s.leases, func(a, b lease) int { return a.expiresAt.Compare(b.expiresAt) })
		next = later(next, first.expiresAt)
	}
	for _, w := range s.waiters {
		if !w.Deadline.IsZero() && w.Deadline.Before(next) {
			next = w.Deadline
		}
	}
	return later(next, now.Add(time.Millisecond))
}

// Done records that an admitted transfer has ended, or that one that waits was given
// up.
func (s *Schedule) Done(id string) {
	s.leases = slices.DeleteFunc(s.leases, func(l lease) bool { return l.id == id })
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool { return w.ID == id })
}

// Wait returns the time until the link has room for another transfer.
func (s *Schedule) Wait(now time.Time) time.Duration {
	wait := max(later(s.freeAt, now).Sub(now)-grantLead, 0)
	for _, w := range s.waiters {
		wait += Time(w.Bytes, s.rate)
	}
	return wait
}

// State describes the load of a schedule.
type State struct {
	Waiting    int           // transfers
	Unfinished int           // transfers that were admitted and whose end was not reported
	Wait       time.Duration // time until the link has room for another transfer
}

// State returns the load of the schedule.
func (s *Schedule) State(now time.Time) State {
	return State{Waiting: len(s.waiters), Unfinished: len(s.leases), Wait: s.Wait(now)}
}

// hasRoom reports whether t can be admitted.
func (s *Schedule) hasRoom(now time.Time, t Transfer) bool {
	return s.freeAt.Sub(now) <= grantLead && (t.Detached || len(s.leases) < maxUnfinished)
}

// admit admits a transfer.
func (s *Schedule) admit(now time.Time, t Transfer) {
	s.Pass(now, t.Bytes)
	if t.Detached {
		return
	}
	lasts := s.freeAt.Sub(now)
	s.leases = append(s.leases, lease{t.ID, now.Add(leaseFactor*lasts + leaseMargin)})
}

// expireLeases ends the places of transfers whose end should have been reported.
func (s *Schedule) expireLeases(now time.Time) {
	s.leases = slices.DeleteFunc(s.leases, func(l lease) bool { return now.After(l.expiresAt) })
}

// sort orders the transfers that wait.
func (s *Schedule) sort(now time.Time) {
	slices.SortFunc(s.waiters, func(a, b waiter) int { return s.compare(now, a, b) })
}

// compare orders transfers: those that can be in time before others, then by priority,
// by target or deadline, and by arrival.
func (s *Schedule) compare(now time.Time, a, b waiter) int {
	return cmp.Or(
		compareBool(!s.canBeInTime(now, a.Transfer), !s.canBeInTime(now, b.Transfer)),
		cmp.Compare(a.Priority, b.Priority),
		s.bound(now, a.Transfer).Compare(s.bound(now, b.Transfer)),
		cmp.Compare(a.arrival, b.arrival),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// canBeInTime reports whether t would pass before its target on a free link.
func (s *Schedule) canBeInTime(now time.Time, t Transfer) bool {
	return t.Target.IsZero() || !now.Add(Time(t.Bytes, s.rate)).After(t.Target)
}

// bound returns by when t has to pass: by its target, or if it has none or can't meet
// it, by its deadline.
func (s *Schedule) bound(now time.Time, t Transfer) time.Time {
	if !t.Target.IsZero() && s.canBeInTime(now, t) {
		return t.Target
	}
	return t.Deadline
}

// endAt returns when t would have passed in the given place of the queue.
func (s *Schedule) endAt(now time.Time, at int, t Transfer) time.Time {
	bytes := t.Bytes
	for _, w := range s.waiters[:at] {
		bytes += w.Bytes
	}
	return later(s.freeAt, now).Add(Time(bytes, s.rate))
}

// refuseLate removes the transfers that can't pass before their deadlines any more.
func (s *Schedule) refuseLate(now time.Time) []Decision {
	var out []Decision
	end := later(s.freeAt, now)
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
		passed := end.Add(Time(w.Bytes, s.rate))
		if !w.Deadline.IsZero() && passed.After(w.Deadline) {
			out = append(out, Decision{ID: w.ID, RetryAfter: passed.Sub(w.Deadline)})
			return true
		}
		end = passed
		return false
	})
	return out
}

// Estimate is the expected course of a call whose bodies pass links.
type Estimate struct {
	Wait  time.Duration // until the links have room
	Lasts time.Duration // the transfers and the work between them
	Age   time.Duration // of the report of the wait, 0 if there was none
}

// waitMargin is the factor on an expected wait, since links are rarely as fast as stated.
const waitMargin = 1.25

// Excess returns by how much a call exceeds its target, or its deadline if it has no target
// or could not meet it without the wait. It is 0 if the call is in time. Room for it is
// expected after the excess has passed.
func (e Estimate) Excess(now, target, deadline time.Time) time.Duration {
	bound := deadline
	if !target.IsZero() && !now.Add(e.Lasts).After(target) {
		bound = target
	}
	wait := time.Duration(waitMargin * float64(e.Wait))
	return max(now.Add(wait+e.Lasts).Sub(bound), 0)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
