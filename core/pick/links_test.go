package pick_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/pick"
)

// TestPicksEarliestTransfer checks that a large body goes where its transfer and its work end
// first, and a small one where the work alone ends first, since it waits for no link.
func TestPicksEarliestTransfer(t *testing.T) {
	const narrow, wide = 1.25e6, 25e6 // bytes a second
	for _, c := range []struct {
		name      string
		body      int64
		rates     [2]float64
		waits     [2]time.Duration
		services  [2]time.Duration
		reportAge time.Duration
		want      string
	}{
		{"wider link", 100_000, [2]float64{narrow, wide}, [2]time.Duration{}, [2]time.Duration{100, 120}, 0, "l1"},
		{"full link", 100_000, [2]float64{narrow, narrow}, [2]time.Duration{400, 0}, [2]time.Duration{100, 150}, 0, "l1"},
		{"small body, full link", 1000, [2]float64{narrow, narrow}, [2]time.Duration{400, 0}, [2]time.Duration{100, 150}, 0, "l0"},
		{"link that was full", 100_000, [2]float64{narrow, narrow}, [2]time.Duration{400, 0}, [2]time.Duration{100, 150}, 500, "l0"},
		{"own instance", 100_000, [2]float64{0, narrow}, [2]time.Duration{}, [2]time.Duration{150, 100}, 0, "l0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPicker(1)
			cs := candidates(2, 0)
			for i := range cs {
				cs[i].LinkRate = c.rates[i]
				p.Sent(epoch, cs[i].ID)
				p.Done(epoch, cs[i].ID, pick.Outcome{Load: pick.Load{
					InFlight: 1, Limit: 12, ServiceTime: c.services[i] * time.Millisecond, LinkWait: c.waits[i] * time.Millisecond,
				}})
			}
			got, _, _ := p.Pick(epoch.Add(c.reportAge*time.Millisecond), cs, pick.Criteria{BodyBytes: c.body})
			is.Equal(got.ID, c.want)
		})
	}
}

// TestBodiesSentSinceReportCount checks that a node does not send all bodies to the node that
// last reported room.
func TestBodiesSentSinceReportCount(t *testing.T) {
	is := is.New(t)
	p := newPicker(2)
	cs := candidates(2, 0)
	for i := range cs {
		cs[i].LinkRate = 1.25e6
		p.Sent(epoch, cs[i].ID)
		p.Done(epoch, cs[i].ID, pick.Outcome{Load: pick.Load{InFlight: 1, Limit: 12, ServiceTime: 100 * time.Millisecond}})
	}
	criteria := pick.Criteria{BodyBytes: 100_000}
	sent := map[string]int{}
	for range 20 {
		c, _, _ := p.Pick(epoch, cs, criteria)
		p.Sent(epoch, c.ID)
		p.SentBulk(c, criteria)
		sent[c.ID]++
	}
	is.True(sent["l0"] >= 8 && sent["l1"] >= 8)
	e, ok := p.EstimateLink(epoch, cs, criteria)
	is.True(ok)
	is.True(e.Wait > 700*time.Millisecond && e.Excess(epoch, epoch.Add(time.Second), epoch.Add(4*time.Second)) > 0)
}
