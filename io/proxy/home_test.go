package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
)

// TestHomeAcceptsNoKeyAfterStepDown guards against a home that has stepped down and runs
// the work of a new key for a sender that does not know it yet: the next home does not ask
// about keys that were issued after those that the former one names as accepted.
func TestHomeAcceptsNoKeyAfterStepDown(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newHomeTable()
	begin := func(id string, issued time.Time) dedup.Verdict {
		v, _ := table.Begin(call.Call{ID: id, Issued: issued, Attempt: id + "/1"})
		return v
	}
	is.Equal(begin("early", now), dedup.Fenced) // no candidate yet
	table.acceptNewKeys()
	is.Equal(begin("late clock", now.Add(-time.Second)), dedup.Run)
	is.True(!table.refuseNewKeys().Before(now)) // at least the start of the process
	table.acceptNewKeys()
	is.Equal(begin("early clock", now.Add(time.Second)), dedup.Run)
	is.True(table.refuseNewKeys().Equal(now.Add(time.Second)))
	is.Equal(begin("new", now.Add(2*time.Second)), dedup.Fenced)
	is.Equal(begin("early clock", now.Add(time.Second)), dedup.Join) // what has started goes on
	is.True(table.refuseNewKeys().Equal(now.Add(time.Second)))
}
