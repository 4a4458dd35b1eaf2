package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/admit"
)

// TestAcceptance checks that the share of started calls is reported for each class, that it is
// not known without recent calls, and that a call that leaves the queue without a start counts
// as refused.
func TestAcceptance(t *testing.T) {
	is := is.New(t)
	c := admit.New(admit.Config{Slots: 2})
	offer := func(id, class string, wait time.Duration) admit.Verdict {
		v, _, _ := c.Offer(epoch, admit.Item{ID: id, Class: class, Deadline: epoch.Add(time.Minute), WaitUntil: epoch.Add(wait)})
		return v
	}
	is.Equal(offer("a", "read", 0), admit.Start)
	is.Equal(offer("b", "read", 0), admit.Start)
	is.Equal(c.Acceptance(epoch, "read"), 0.0) // two calls tell nothing
	is.Equal(offer("c", "read", 0), admit.Refuse)
	is.Equal(offer("d", "read", 10*time.Millisecond), admit.Wait)
	is.Equal(c.Acceptance(epoch, "read"), 2.0/3)
	is.Equal(len(c.Tick(epoch.Add(20*time.Millisecond)).Refused), 1)
	after := c.Acceptance(epoch.Add(20*time.Millisecond), "read")
	is.True(after > 0.49 && after < 0.51)
	is.Equal(c.Acceptance(epoch, "write"), 0.0)
	for i := range 4 {
		is.Equal(offer(fmt.Sprint("w", i), "write", 0), admit.Refuse)
	}
	is.True(c.Acceptance(epoch, "write") > 0)                       // known, and very low
	is.Equal(c.Acceptance(epoch.Add(10*time.Second), "write"), 0.0) // long ago
}
