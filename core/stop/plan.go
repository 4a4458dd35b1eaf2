package stop

import "time"

// endMargin is the least time between the expected end of a call and the end of the stop.
const endMargin = 200 * time.Millisecond

// Plan is the course of a planned stop. The zero Plan is that of a node that does not stop.
type Plan struct {
	// LastArrival is when the last call of a caller is taken. Callers should be gone by
	// then; one that is not is told to come back elsewhere.
	LastArrival time.Time
	// LastStart is when the last call is started at a backend server.
	LastStart time.Time
	End       time.Time // calls that are still in progress are given up then
}

// Takes reports whether a call of a caller that arrives at a time is taken. longest is how long
// a call of its class may last. A call whose deadline comes before the end of the stop is taken.
func (p Plan) Takes(at, deadline time.Time, longest time.Duration) bool {
	return p.endsInTime(deadline) || !at.After(p.LastArrival) && p.MayStart(at, deadline, longest)
}

// LatestStart returns when a call may be started at a backend server at the latest, zero if
// there is no bound. longest is how long a call of its class may last from then on.
func (p Plan) LatestStart(deadline time.Time, longest time.Duration) time.Time {
	if p.endsInTime(deadline) {
		return time.Time{}
	}
	if by := p.End.Add(-longest - endMargin); by.Before(p.LastStart) {
		return by
	}
	return p.LastStart
}

// MayStart reports whether a call may be started at a time, see LatestStart.
func (p Plan) MayStart(at, deadline time.Time, longest time.Duration) bool {
	by := p.LatestStart(deadline, longest)
	return by.IsZero() || !at.After(by)
}

// MayStartForOther reports whether a call may be started for another node, which can still send it
// elsewhere. How long calls of its class have lasted of late promises nothing, so that only its
// deadline counts.
func (p Plan) MayStartForOther(deadline time.Time) bool { return p.endsInTime(deadline) }

// endsInTime reports whether a call with the given deadline ends before the stop does.
func (p Plan) endsInTime(deadline time.Time) bool {
	return p.End.IsZero() || !deadline.After(p.End)
}
