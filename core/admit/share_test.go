package admit

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestGiveBackLeavesOtherCalls guards against a refused call that gives back more of the
// share of its account than it still holds, and so a part of what other calls have taken.
func TestGiveBackLeavesOtherCalls(t *testing.T) {
	is := is.New(t)
	const hold, wait = 200 * time.Millisecond, 600 * time.Millisecond
	var s shares
	start := time.Unix(0, 0)
	s.offer(start, "a", hold, 9)
	s.take(start, "a", hold) // runs
	s.take(start, "a", hold) // is refused after wait
	s.giveBack(start.Add(wait), "a", hold, start)
	is.True(math.Abs(s.accounts["a"].taken-hold.Seconds()*decayFactor(wait)) < 1e-9)
}
