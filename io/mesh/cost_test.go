package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	sample "tanagerchute/examples"
	"tanagerchute/io/fakekv"
	"tanagerchute/io/mesh"
)

// storeCalls is the sum of the calls of all kinds.
func storeCalls(c fakekv.Calls) uint64 { return c.Reads + c.Writes }

// TestRestoreCost checks that the calls to the store after its return do not grow with
// the number of nodes, but with that of the seeds and readers, and that no moment sees
// many of them at once.
func TestRestoreCost(t *testing.T) {
	const (
		window    = 100 * time.Millisecond
		windows   = 30
		seeds     = 9 // three in each of three data centres
		maxCalls  = 12 * seeds
		maxWindow = 4 * seeds
	)
	for _, nodes := range []int{10, 100} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			is := is.New(t)
			cfg := smallConfig()
			cfg.Instances = mesh.InstanceSpecs([]string{"hafnar", "keflavik", "selfoss"}, map[string]int{"skraning": nodes})
			cfg.Document, cfg.NoBackends = sample.Nordurljos, true
			m, _ := start(t, cfg)
			time.Sleep(4 * time.Second) // the seeds write their records
			before := storeCalls(m.Platform.Calls())
			time.Sleep(windows * window)
			usual := storeCalls(m.Platform.Calls()) - before
			m.Platform.TakeCopy()
			m.Platform.RestoreCopy(200 * time.Millisecond)
			start := storeCalls(m.Platform.Calls())
			last, peak := start, uint64(0)
			for range windows {
				time.Sleep(window)
				now := storeCalls(m.Platform.Calls())
				peak, last = max(peak, now-last), now
			}
			t.Logf("%d nodes: %d calls in %v, at most %d in %v; %d calls in such a time before", nodes, last-start, windows*window, peak, window, usual)
			is.True(last-start <= maxCalls)
			is.True(peak <= maxWindow)
		})
	}
}
