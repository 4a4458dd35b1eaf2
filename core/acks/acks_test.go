package acks_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/acks"
)

// TestTimeoutFollowsSlowNode guards against a fixed timeout, which takes every
// call to a node that acknowledges late for lost.
func TestTimeoutFollowsSlowNode(t *testing.T) {
	is := is.New(t)
	var e acks.Estimator
	is.Equal(e.Timeout(), acks.MinTimeout)
	for range 20 {
		e.Observe(5 * time.Millisecond)
	}
	is.Equal(e.Timeout(), acks.MinTimeout) // a fast node does not shorten it
	late := 450 * time.Millisecond
	for range 3 {
		e.Observe(late)
	}
	is.True(e.Timeout() > late)
	for range 60 {
		e.Observe(5 * time.Millisecond)
	}
	is.Equal(e.Timeout(), acks.MinTimeout) // it recovers with the node
	for range 10 {
		e.Observe(time.Minute)
	}
	is.Equal(e.Timeout(), acks.MaxTimeout)
}
