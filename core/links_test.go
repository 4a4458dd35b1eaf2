package core_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/acks"
	"tanagerchute/core/band"
)

// The load of TestUploadsOverNarrowLinks: four nodes with links of 10 Mbit/s get 85 uploads a
// second of 60 KB on average, and small nested calls.
const (
	narrowLink      = 1.25e6 // bytes a second
	narrowNodes     = 4
	uploadRate      = 85.0
	nestedRate      = 200.0
	nestedCallBytes = 1000
	uploadTarget    = time.Second
	uploadDeadline  = 4 * time.Second
	nestedTarget    = 200 * time.Millisecond
	oneWayDelay     = 500 * time.Microsecond
)

// fifoLink is a link that passes bytes in the order in which they come.
type fifoLink struct{ freeAt time.Time }

// send returns when n bytes that are sent at now have passed.
func (l *fifoLink) send(now time.Time, n int64) time.Time {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(band.Time(n, narrowLink))
	return l.freeAt.Add(oneWayDelay)
}

// narrowNode is a node that receives uploads over a narrow link.
type narrowNode struct {
	link     fifoLink
	schedule *band.Schedule
	reported time.Duration // wait, as its senders know it
	sending  []*upload
}

// upload is the body of a call on its way.
type upload struct {
	id       string
	bytes    int64
	left     int64 // to be sent
	nextAt   time.Time
	sentAt   time.Time
	lastByte time.Time
}

// linkOutcome counts what became of the load.
type linkOutcome struct {
	uploads, inTime, late, refused int
	nested, nestedLate, silent     int
}

// uploadsOverNarrowLinks replays the load for some seconds. Without scheduled, bodies are sent
// at once, first come first served.
func uploadsOverNarrowLinks(scheduled bool, length time.Duration) linkOutcome {
	const step = time.Millisecond
	rng := rand.New(rand.NewPCG(29, 1))
	var out linkOutcome
	nodes := make([]*narrowNode, narrowNodes)
	for i := range nodes {
		nodes[i] = &narrowNode{schedule: band.New(band.Config{BytesPerSecond: narrowLink})}
	}
	waiting := map[string]*upload{}
	finish := func(u *upload) {
		if u.lastByte.Sub(u.sentAt) <= uploadTarget {
			out.inTime++
		} else {
			out.late++
		}
	}
	for now := epoch; now.Before(epoch.Add(length)); now = now.Add(step) {
		if rng.Float64() < uploadRate*step.Seconds() {
			out.uploads++
			u := &upload{id: fmt.Sprint(out.uploads), bytes: uploadBytes(rng), sentAt: now}
			u.left = u.bytes
			if !scheduled {
				u.lastByte = nodes[rng.IntN(narrowNodes)].link.send(now, u.bytes)
				finish(u)
			} else if !offerUpload(now, rng, nodes, waiting, u) {
				out.refused++
			}
		}
		if rng.Float64() < nestedRate*step.Seconds() {
			out.nested++
			took := nodes[rng.IntN(narrowNodes)].link.send(now, nestedCallBytes).Sub(now)
			if took > nestedTarget {
				out.nestedLate++
			}
			if took > acks.MinTimeout {
				out.silent++
			}
		}
		for i, n := range nodes {
			if now.Sub(epoch)/step%500 == time.Duration(i) {
				n.reported = n.schedule.Wait(now)
			}
			for _, d := range n.schedule.Advance(now) {
				u := waiting[d.ID]
				delete(waiting, d.ID)
				if !d.Admitted {
					out.refused++
					continue
				}
				n.start(now, u)
			}
			n.sendPieces(now, finish)
		}
	}
	return out
}

// uploadBytes returns the size of an upload, 60 KB on average.
func uploadBytes(rng *rand.Rand) int64 {
	return min(int64(15_000+45_000*rng.ExpFloat64()), 360_000)
}

// offerUpload asks up to three nodes to take an upload, in the order of the waits that they
// reported.
func offerUpload(now time.Time, rng *rand.Rand, nodes []*narrowNode, waiting map[string]*upload, u *upload) bool {
	const maxAsked = 3
	asked := map[*narrowNode]bool{}
	for range maxAsked {
		var best *narrowNode
		for _, i := range rng.Perm(len(nodes)) {
			if n := nodes[i]; !asked[n] && (best == nil || n.reported < best.reported) {
				best = n
			}
		}
		asked[best] = true
		v, _ := best.schedule.Offer(now, band.Transfer{ID: u.id, Bytes: u.bytes, Target: u.sentAt.Add(uploadTarget), Deadline: u.sentAt.Add(uploadDeadline)})
		best.reported = best.schedule.Wait(now)
		switch v {
		case band.Admitted:
			best.start(now, u)
			return true
		case band.Waiting:
			waiting[u.id] = u
			return true
		}
	}
	return false
}

// start starts to send an upload that was admitted. Its first byte comes after a round trip.
func (n *narrowNode) start(now time.Time, u *upload) {
	u.nextAt = now.Add(2 * oneWayDelay)
	n.sending = append(n.sending, u)
}

// sendPieces sends the pieces of uploads that are due.
func (n *narrowNode) sendPieces(now time.Time, finish func(*upload)) {
	var still []*upload
	for _, u := range n.sending {
		for u.left > 0 && !u.nextAt.After(now) {
			piece := min(u.left, band.PieceBytes(narrowLink))
			u.left -= piece
			u.nextAt = u.nextAt.Add(band.Time(piece, n.schedule.Rate()))
			u.lastByte = n.link.send(now, piece)
		}
		if u.left > 0 {
			still = append(still, u)
			continue
		}
		n.schedule.Done(u.id)
		finish(u)
	}
	n.sending = still
}

// TestUploadsOverNarrowLinks replays uploads whose bytes come to the whole rate of the links
// of the nodes that take them. Sent at once, they make small nested calls wait until the
// senders take the nodes for silent. With the schedule, nested calls pass in milliseconds,
// and the uploads that do not fit are refused instead of making all of them late.
func TestUploadsOverNarrowLinks(t *testing.T) {
	is := is.New(t)
	const length = 30 * time.Second
	before := uploadsOverNarrowLinks(false, length)
	after := uploadsOverNarrowLinks(true, length)
	t.Logf("sent at once: %+v", before)
	t.Logf("scheduled:    %+v", after)
	is.True(before.nestedLate > before.nested/2) // the load is what it should be
	is.Equal(after.nestedLate, 0)
	is.Equal(after.silent, 0)
	is.Equal(after.late, 0)
	is.True(after.inTime > after.uploads*7/10)
}
