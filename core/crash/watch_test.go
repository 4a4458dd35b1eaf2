package crash_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/crash"
)

var start = time.Unix(1000, 0)

// at returns the time that many milliseconds after the start of the test.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestWatchFindsEnds checks which sequences of events count as the end of a server.
func TestWatchFindsEnds(t *testing.T) {
	refused := func(w *crash.Watch, ms int) (crash.End, bool) { return w.Refused(at(ms)) }
	replaced := func(w *crash.Watch, ms int) (crash.End, bool) { return w.Replaced(at(ms)) }
	for _, tc := range []struct {
		name  string
		run   func(w *crash.Watch) (crash.End, bool)
		works []crash.Work // empty if the server has not ended
	}{
		{"no answer, then refused", func(w *crash.Watch) (crash.End, bool) {
			w.Broken(at(5), "a")
			return refused(w, 20)
		}, []crash.Work{1, 2}},
		{"refused, then no answer", func(w *crash.Watch) (crash.End, bool) {
			refused(w, 4)
			return w.Broken(at(5), "a")
		}, []crash.Work{1, 2}},
		{"no answer, then another server", func(w *crash.Watch) (crash.End, bool) {
			w.Broken(at(5), "a")
			w.Broken(at(6), "b")
			return replaced(w, 4000)
		}, []crash.Work{1, 2}},
		{"lost answer", func(w *crash.Watch) (crash.End, bool) { return w.Broken(at(5), "a") }, nil},
		{"lost answer, then an answer, then refused", func(w *crash.Watch) (crash.End, bool) {
			w.Broken(at(5), "a")
			w.Start(at(10), "c", 3)
			w.Answered("c")
			w.Done("b")
			return refused(w, 20)
		}, nil},
		{"answer that was sent before the end", func(w *crash.Watch) (crash.End, bool) {
			w.Broken(at(5), "a")
			w.Answered("b")
			return refused(w, 20)
		}, []crash.Work{1}},
		{"lost answer long before", func(w *crash.Watch) (crash.End, bool) {
			w.Broken(at(5), "a")
			return refused(w, 5000)
		}, nil},
		{"announced stop", func(w *crash.Watch) (crash.End, bool) {
			w.Leaving()
			w.Broken(at(5), "a")
			return replaced(w, 20)
		}, nil},
		{"callers that left", func(w *crash.Watch) (crash.End, bool) {
			w.Done("a")
			w.Done("b")
			return replaced(w, 20)
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := crash.NewWatch()
			w.Start(at(0), "a", 1)
			w.Start(at(0), "b", 2)
			end, ok := tc.run(w)
			is.Equal(ok, len(tc.works) > 0)
			if ok {
				slices.Sort(end.Works)
				is.Equal(end.Works, tc.works)
			}
		})
	}
}

// TestWatchCountsEachEndOnce checks that one end is not reported again by the rest of
// its calls.
func TestWatchCountsEachEndOnce(t *testing.T) {
	is := is.New(t)
	w := crash.NewWatch()
	w.Start(at(0), "a", 1)
	w.Start(at(0), "b", 2)
	w.Broken(at(5), "a")
	_, ok := w.Refused(at(6))
	is.True(ok)
	_, ok = w.Broken(at(7), "b")
	is.True(!ok)
	_, ok = w.Refused(at(8))
	is.True(!ok)
	_, ok = w.Replaced(at(3000))
	is.True(!ok)
}

// TestWorkDiffersInEachPart checks that no two requests with a difference are taken for
// the same work.
func TestWorkDiffersInEachPart(t *testing.T) {
	is := is.New(t)
	r := crash.Request{Caller: "c", Method: "POST", Host: "h", Path: "/p?q=1", Body: []byte("b")}
	same := r
	others := []crash.Request{r, r, r, r, r}
	others[0].Caller, others[1].Method, others[2].Host, others[3].Path, others[4].Body = "d", "PUT", "i", "/p?q=2", []byte("d")
	is.Equal(crash.Identify(r), crash.Identify(same))
	for _, o := range others {
		is.True(crash.Identify(r) != crash.Identify(o))
	}
}
