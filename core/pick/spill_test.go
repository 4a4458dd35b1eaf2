package pick_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/pick"
)

// report lets a candidate report that it accepts a share of the calls of a class.
func report(p *pick.Picker, now time.Time, id string, share float64) {
	p.Sent(now, id)
	p.Done(now, id, pick.Outcome{Result: pick.Success, Class: "read", Load: pick.Load{Limit: 12, ServiceTime: 100 * time.Millisecond, Acceptance: share}})
}

// shareSpilled returns the share of calls that leave a data centre that accepts own of them,
// where the other one accepts other.
func shareSpilled(own, other float64) float64 {
	p := newPicker(1)
	cs := candidates(1, 1)
	const calls = 1000
	spilled := 0
	for range calls {
		report(p, epoch, "l0", own)
		report(p, epoch, "f0", other)
		c, cause, _ := p.Pick(epoch, cs, pick.Criteria{Class: "read", Target: epoch.Add(time.Second)})
		if c.Remote && cause.IsSpill() {
			spilled++
		}
	}
	return float64(spilled) / calls
}

// TestSpill checks that no call leaves a data centre that has room, nor a full one if the
// other is as full, and that more leave it the more the other one accepts.
func TestSpill(t *testing.T) {
	is := is.New(t)
	is.Equal(shareSpilled(0.95, 1), 0.0)
	is.Equal(shareSpilled(0.6, 0.6), 0.0)
	is.Equal(shareSpilled(0.6, 0.5), 0.0)
	is.Equal(shareSpilled(0.4, 0.9), 1.0)
	little, more := shareSpilled(0.6, 0.65), shareSpilled(0.6, 0.72)
	is.True(little > 0 && little < more && more < 1)
}

// TestRefusedCallStaysWhereOthersAreFull checks that a call that was refused goes to another
// data centre only if that is not known to be full for calls of its class.
func TestRefusedCallStaysWhereOthersAreFull(t *testing.T) {
	is := is.New(t)
	p, cs := newPicker(1), candidates(1, 1)
	report(p, epoch, "l0", 0.5)
	report(p, epoch, "f0", 0.5)
	refused := pick.Criteria{Class: "read", Refused: true, Exclude: []string{"l0"}}
	_, _, ok := p.Pick(epoch, cs, refused)
	is.True(!ok)
	c, _, ok := p.Pick(epoch.Add(3*time.Second), cs, refused) // the report is too old
	is.True(ok && c.ID == "f0")
	refused.Class = "write" // of which it has reported nothing
	c, _, ok = p.Pick(epoch, cs, refused)
	is.True(ok && c.ID == "f0")
	report(p, epoch, "f0", 0.9)
	refused.Class = "read"
	c, _, ok = p.Pick(epoch, cs, refused)
	is.True(ok && c.ID == "f0")
}
