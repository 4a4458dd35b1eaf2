package owner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/owner"
)

// TestLearn checks which of the claims of earlier processes and of this one counts, and that
// later processes see this one's as the latest.
func TestLearn(t *testing.T) {
	is := is.New(t)
	now := epoch.Add(time.Minute)
	at := func(id string, d time.Duration) owner.Claim {
		return owner.Claim{ID: id, StartMs: 1, HeardMs: now.Add(d).UnixMilli()}
	}
	var tr owner.Tracker
	tr.Learn(now, owner.Claim{}, owner.FromMembers)
	is.Equal(tr.Claim(), owner.Claim{})
	tr.Learn(now, at("far ahead", 2*time.Hour), owner.FromStore)
	is.Equal(tr.Claim(), owner.Claim{})
	tr.Learn(now, at("late", -time.Second), owner.FromMembers)
	tr.Learn(now, at("early", -time.Minute), owner.FromStore)
	is.Equal(tr.Claim(), at("late", -time.Second))
	is.Equal(tr.Source(), owner.FromMembers)
	tr.Learn(now, at("latest", time.Second), owner.FromStore)
	is.Equal(tr.Claim(), at("latest", time.Second))
	is.Equal(tr.Source(), owner.FromStore)
	tr.Heard(now, "own", 5)
	is.Equal(tr.Claim().ID, "own")
	is.True(tr.Claim().HeardMs > at("latest", time.Second).HeardMs) // the clock was set back
	ahead := at("ahead", time.Minute)
	tr.Learn(now, ahead, owner.FromMembers) // of an earlier process all the same
	is.Equal(tr.Claim().ID, "own")
	is.True(tr.Claim().HeardMs > ahead.HeardMs)
	before := tr.Claim()
	tr.Heard(now.Add(time.Second), "own", 5)
	is.Equal(tr.Claim(), before) // it was first heard then
}

// TestIdentify checks the verdicts on the server that answers a health check.
func TestIdentify(t *testing.T) {
	own := owner.Claim{ID: "own", StartMs: 1, HeardMs: 1}
	foreign := own
	foreign.Foreign = true
	for _, c := range []struct {
		claim  owner.Claim
		answer owner.Answer
		want   owner.Verdict
	}{
		{own, owner.Answer{ID: "own", Ready: true}, owner.Confirmed},
		{own, owner.Answer{ID: "own"}, owner.NotReady},
		{own, owner.Answer{}, owner.Unanswered},
		{own, owner.Answer{ID: "other", Ready: true}, owner.Other},
		{foreign, owner.Answer{ID: "own", Ready: true}, owner.Foreign},
		{owner.Claim{}, owner.Answer{ID: "own", Ready: true}, owner.Unheard},
	} {
		var tr owner.Tracker
		tr.Learn(epoch, c.claim, owner.FromStore)
		if got := tr.Identify(c.answer); got != c.want {
			t.Errorf("%+v answers at the address of %+v: %v, want %v", c.answer, c.claim, got, c.want)
		}
	}
}
