package mesh_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/event"
	"tanagerchute/io/load"
	"tanagerchute/io/mesh"
)

// narrowDocument has a class of uploads and one of small calls to the same service.
const narrowDocument = `{
  "deployment": "narrow",
  "services": [
    {"name": "front", "calls": ["store"], "classes": [{"name": "any", "match": [{"path": "/"}], "answer_within": "1s"}]},
    {"name": "store", "classes": [
      {"name": "upload", "match": [{"method": "POST", "path": "/"}], "answer_within": "2s", "may_wait": "1500ms", "at_most_once": true},
      {"name": "detail", "match": [{"method": "GET", "path": "/"}], "answer_within": "600ms", "may_wait": "100ms"},
    ]},
  ],
}`

// narrowStore configures a mesh in which the instances of the service store have links of
// 10 Mbit/s.
func narrowStore(events *eventCounts) mesh.Config {
	return mesh.Config{
		Document: []byte(narrowDocument), Instances: mesh.InstanceSpecs([]string{"hafnar"}, map[string]int{"front": 4, "store": 2}),
		Work: 5 * time.Millisecond, Linger: 300 * time.Millisecond, OnEvent: events.add,
		LinkMbit: func(s mesh.InstanceSpec) float64 {
			if s.Service == "store" {
				return 10
			}
			return 0
		},
	}
}

// eventCounts counts events by kind.
type eventCounts struct {
	mu     sync.Mutex
	counts map[event.Kind]int
}

func (e *eventCounts) add(ev event.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = map[event.Kind]int{}
	}
	e.counts[ev.Kind]++
}

func (e *eventCounts) get(k event.Kind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[k]
}

// frontAddrs returns the addresses for callers of the instances of the service front.
func frontAddrs(m *mesh.Mesh) []string {
	var out []string
	for _, in := range m.Instances {
		if in.Spec.Service == "front" {
			out = append(out, in.Settings.Listen.Callers)
		}
	}
	return out
}

// TestSmallCallsPassUploads sends uploads to the rate of the narrow links of two nodes and
// above, and small calls to the same nodes. Where the settings name the rate, small calls
// stay fast, no node is ejected, and each upload runs or is refused as not run. The same
// load with the rate left out of the settings is logged for comparison.
func TestSmallCallsPassUploads(t *testing.T) {
	for _, stated := range []bool{false, true} {
		t.Run(map[bool]string{false: "rate left out", true: "rate stated"}[stated], func(t *testing.T) {
			is := is.New(t)
			var events eventCounts
			cfg := narrowStore(&events)
			cfg.LinkUnstated = !stated
			m, ctx := start(t, cfg)
			r := load.Run(ctx, load.Config{
				Targets: frontAddrs(m), Rate: 150, Duration: 4 * time.Second, Seed: 29,
				Kinds: []load.Kind{
					{Name: "upload", Service: "store", Method: "POST", Path: "/scan", BodyBytes: 60_000, Weight: 1, LatencyTarget: 2 * time.Second},
					{Name: "detail", Service: "store", Method: "GET", Path: "/detail", Weight: 2, LatencyTarget: 100 * time.Millisecond},
				},
			})
			for _, k := range r.Kinds {
				t.Logf("%+v", k)
			}
			t.Logf("%d ejections, %d transfers waited, %d refused", events.get(event.UpstreamEjected), events.get(event.TransferWaited), events.get(event.TransferRefused))
			for _, in := range m.Instances {
				for _, e := range in.Backend.Ledger() {
					is.True(!strings.HasPrefix(e.Method, "POST") || e.Done) // no upload is given up
				}
			}
			if !stated {
				return
			}
			is.Equal(events.get(event.UpstreamEjected), 0)
			for _, k := range r.Kinds {
				is.Equal(k.Failed, 0)
			}
		})
	}
}
