package peer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/canary"
	"tanagerchute/io/peer"
)

// TestRolloutConversion checks that stages and tallies arrive as they were sent, and that an
// invalid stage is left out.
func TestRolloutConversion(t *testing.T) {
	is := is.New(t)
	s := canary.Stage{
		Order: canary.OrderID{Era: 3, Revision: 70}, Service: "a", Target: "v2", Baseline: "v1", Step: 4, Phase: canary.Canary,
		Share: 0.025, Servers: 2, Reason: "r", Holder: "127.0.0.1:7",
	}
	invalid := s
	invalid.Phase = 17
	is.Equal(peer.FromStages(peer.ToStages([]canary.Stage{s, invalid})), []canary.Stage{s})
	tally := canary.NewTally("v2")
	tally.Add(canary.Outcome{Route: "read", Took: 30 * time.Millisecond})
	tally.Add(canary.Outcome{Route: "read", Failed: true})
	tally.Add(canary.Outcome{Route: "write", Took: time.Hour})
	is.Equal(peer.FromTallies(peer.ToTallies([]*canary.Tally{tally})), []*canary.Tally{tally})
}
