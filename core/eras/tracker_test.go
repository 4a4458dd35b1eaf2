package eras_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/eras"
)

// at returns a point in time, in seconds after the start of a test.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// answer returns an answer to a call that was sent at the given time and took 10 ms.
func answer(seconds float64, values ...string) eras.Answer {
	return eras.Answer{Values: values, SentAt: at(seconds), ReceivedAt: at(seconds + 0.01)}
}

// TestObserve checks the verdicts on series of answers.
func TestObserve(t *testing.T) {
	type step struct {
		seconds float64
		values  []string
		want    eras.Kind
	}
	tests := []struct {
		name    string
		steps   []step
		current eras.Era // after all steps
	}{
		{"no eras", []step{{0, nil, eras.Same}, {1, nil, eras.Same}}, eras.Era{}},
		{"rises by one twice", []step{
			{0, []string{"3"}, eras.First}, {1, []string{"4"}, eras.Advanced}, {2, []string{"4"}, eras.Same}, {3, []string{"5"}, eras.Advanced},
		}, eras.New(5)},
		{"begins at zero", []step{{0, []string{"0"}, eras.First}, {1, []string{"1"}, eras.Advanced}}, eras.New(1)},
		{"delayed answer", []step{
			{0, []string{"3"}, eras.First}, {1, []string{"4"}, eras.Advanced}, {0.5, []string{"3"}, eras.Outdated}, {2, []string{"4"}, eras.Same},
		}, eras.New(4)},
		{"missing in some answers", []step{
			{0, []string{"3"}, eras.First}, {1, nil, eras.Missing}, {2, []string{"3"}, eras.Same},
		}, eras.New(3)},
		{"malformed", []step{
			{0, []string{"3"}, eras.First}, {1, []string{"x"}, eras.Malformed}, {2, []string{""}, eras.Malformed}, {3, []string{"-4"}, eras.Malformed},
			{4, []string{"4.0"}, eras.Malformed}, {5, []string{"4", "5"}, eras.Malformed}, {6, []string{"99999999999999999999"}, eras.Malformed},
			{7, []string{"3", "3"}, eras.Same},
		}, eras.New(3)},
		{"malformed at first", []step{{0, []string{"x"}, eras.Malformed}, {1, []string{"3"}, eras.First}}, eras.New(3)},
		{"jump that is confirmed", []step{
			{0, []string{"3"}, eras.First}, {1, []string{"500"}, eras.Doubtful}, {2, []string{"501"}, eras.Advanced},
		}, eras.New(501)},
		{"jump that is a mistake", []step{
			{0, []string{"3"}, eras.First}, {1, []string{"500"}, eras.Doubtful}, {2, []string{"3"}, eras.Same},
			{3, []string{"500"}, eras.Doubtful}, {4, []string{"4"}, eras.Advanced},
		}, eras.New(4)},
		{"jump between answers on slow connections", []step{
			{0, []string{"3"}, eras.First}, {1, []string{"500"}, eras.Doubtful}, {0.9, []string{"3"}, eras.Same}, {2, []string{"500"}, eras.Advanced},
		}, eras.New(500)},
		{"jump in two answers at once", []step{
			{0, []string{"3"}, eras.First}, {1, []string{"500"}, eras.Doubtful}, {1, []string{"500"}, eras.Doubtful}, {2, []string{"3"}, eras.Same},
		}, eras.New(3)},
		{"goes down for good", []step{
			{0, []string{"9"}, eras.First}, {1, []string{"2"}, eras.Outdated}, {4, []string{"2"}, eras.Outdated}, {6, []string{"2"}, eras.Reset},
			{7, []string{"2"}, eras.Same},
		}, eras.New(2)},
		{"delayed answer after a long silence", []step{
			{0, []string{"3"}, eras.First}, {100, []string{"4"}, eras.Advanced}, {99, []string{"3"}, eras.Outdated},
		}, eras.New(4)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var tr eras.Tracker
			for _, s := range tt.steps {
				v := tr.Observe(answer(s.seconds, s.values...))
				is.Equal(v.Kind.String(), s.want.String())
				is.Equal(v.Changed(), s.want == eras.Advanced || s.want == eras.Reset)
				is.True(v.Cause != "" || v.Kind == eras.Same) // each decision says why
			}
			is.Equal(tr.State().Current, tt.current)
		})
	}
}

// TestRevisions checks that the revisions of two eras are kept apart, and that one
// that is read late does not count for the present era.
func TestRevisions(t *testing.T) {
	is := is.New(t)
	var tr eras.Tracker
	tr.Observe(answer(0, "1"))
	tr.ObserveRevision(eras.New(1), 90)
	tr.Observe(answer(1, "2"))
	tr.ObserveRevision(eras.New(1), 95)
	tr.ObserveRevision(eras.New(2), 70)
	is.Equal(tr.State(), eras.State{Current: eras.New(2), Revision: 70, Previous: eras.New(1), PreviousRevision: 90})
}
