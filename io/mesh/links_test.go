package mesh_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
      {"name": "download", "match": [{"method": "GET", "path": "/large"}], "answer_within": "2s", "may_wait": "1500ms"},
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
	last   map[event.Kind]event.Event
}

func (e *eventCounts) add(ev event.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts, e.last = map[event.Kind]int{}, map[event.Kind]event.Event{}
	}
	e.last[ev.Kind] = ev
	e.counts[ev.Kind]++
}

// get returns the number of events of a kind, and the last of them.
func (e *eventCounts) get(k event.Kind) (int, event.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[k], e.last[k]
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

// TestSmallCallsPassBodies sends uploads to two nodes with narrow links, or fetches large
// answers from them, at a rate below that of the links and one above, together with small
// calls to the same nodes. Small calls stay fast, no node is ejected, and each large call is
// answered, or refused as not run and not run. The same load with the rate left out of the
// settings is logged for comparison.
func TestSmallCallsPassBodies(t *testing.T) {
	upload := load.Kind{Name: "upload", Service: "store", Method: "POST", Path: "/scan", BodyBytes: 60_000}
	download := load.Kind{Name: "download", Service: "store", Method: "GET", Path: "/large?bytes=60000"}
	for _, c := range []struct {
		name   string
		bulk   load.Kind
		rate   float64 // bulk calls a second
		stated bool
	}{
		{"uploads, rate left out", upload, 50, false},
		{"uploads", upload, 30, true},
		{"too many uploads", upload, 70, true},
		{"downloads, rate left out", download, 50, false},
		{"downloads", download, 30, true},
		{"too many downloads", download, 70, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var events eventCounts
			cfg := narrowStore(&events)
			cfg.LinkUnstated = !c.stated
			m, ctx := start(t, cfg)
			bulk, detail := c.bulk, load.Kind{Name: "detail", Service: "store", Method: "GET", Path: "/detail", Weight: 2, LatencyTarget: 150 * time.Millisecond}
			bulk.Weight, bulk.LatencyTarget = 1, 2*time.Second
			r := load.Run(ctx, load.Config{Targets: frontAddrs(m), Rate: 3 * c.rate, Duration: 4 * time.Second, Seed: 29, Kinds: []load.Kind{bulk, detail}})
			for _, k := range r.Kinds {
				t.Logf("%s: %d sent, %d answered, %d in time, %d not run, %d unknown, %d failed, p50 %.0f ms, p99 %.0f ms", k.Name, k.Sent, k.Good, k.InTime, k.NotRun, k.Unknown, k.Failed, k.P50, k.P99)
			}
			for _, k := range []event.Kind{event.UpstreamEjected, event.TransferWaited, event.TransferRefused} {
				if n, last := events.get(k); n > 0 {
					t.Logf("%d events, the last: %s %s %s", n, last.Node, last.Kind, last.Cause)
				}
			}
			for _, in := range m.Instances {
				for _, e := range in.Backend.Ledger() {
					is.True(!r.Refused[e.Request]) // a call that was told not to have run
				}
			}
			if !c.stated {
				return
			}
			ejections, _ := events.get(event.UpstreamEjected)
			is.Equal(ejections, 0)
			is.Equal(r.Total().Failed+r.Total().Unknown, 0)
			for _, k := range r.Kinds {
				is.True(k.Name != "detail" || k.InTime > k.Sent*98/100)
				is.True(k.Name == "detail" || k.InTime > k.Sent/3)
			}
		})
	}
}

// uploads sends uploads of 60 KB to the service store in the background, and returns a
// function that waits for their end.
func uploads(t *testing.T, ctx context.Context, targets []string, rate float64) (wait func() load.Report) {
	t.Helper()
	done := make(chan load.Report, 1)
	go func() {
		done <- load.Run(ctx, load.Config{Targets: targets, Rate: rate, Duration: 3 * time.Second, Seed: 30, Kinds: []load.Kind{
			{Name: "upload", Service: "store", Method: "POST", Path: "/scan", BodyBytes: 60_000, Weight: 1, LatencyTarget: 2 * time.Second},
		}})
	}()
	return func() load.Report { return <-done }
}

// TestPlannedStopBesideUploads checks that a node with a narrow link stops as planned while
// uploads fill the link: none of them is lost, and none that was refused has run.
func TestPlannedStopBesideUploads(t *testing.T) {
	is := is.New(t)
	var events eventCounts
	m, ctx := start(t, narrowStore(&events))
	wait := uploads(t, ctx, frontAddrs(m), 40)
	time.Sleep(time.Second)
	for i, in := range m.Instances {
		if in.Spec.Service == "store" {
			m.Stop(i)
			break
		}
	}
	r := wait()
	total := r.Total()
	t.Logf("%d sent, %d answered, %d not run, %d unknown, %d failed", total.Sent, total.Good, total.NotRun, total.Unknown, total.Failed)
	is.Equal(total.Unknown+total.Failed, 0)
	is.True(total.Good > total.Sent/2)
	for _, in := range m.Instances {
		for _, e := range in.Backend.Ledger() {
			is.True(!r.Refused[e.Request])
		}
	}
}

// TestDeadSenderLeavesRoom checks that the links have room again soon after a node was killed
// whose uploads had been admitted.
func TestDeadSenderLeavesRoom(t *testing.T) {
	is := is.New(t)
	var events eventCounts
	m, ctx := start(t, narrowStore(&events))
	wait := uploads(t, ctx, frontAddrs(m)[:1], 40)
	time.Sleep(time.Second)
	for i, in := range m.Instances {
		if in.Settings.Listen.Callers == frontAddrs(m)[0] {
			m.Kill(i)
			break
		}
	}
	time.Sleep(200 * time.Millisecond)
	after := uploads(t, ctx, frontAddrs(m)[1:], 20)()
	wait()
	total := after.Total()
	t.Logf("%d sent, %d answered, %d not run, %d unknown, %d failed, p99 %.0f ms", total.Sent, total.Good, total.NotRun, total.Unknown, total.Failed, total.P99)
	is.Equal(total.Good, total.Sent)
}

// TestBodyIsRefusedUnread checks that an upload which the link of the ingress node has no
// room for is refused before any byte of its body was sent, and that the caller can read the
// whole refusal before its connection ends.
func TestBodyIsRefusedUnread(t *testing.T) {
	is := is.New(t)
	var events eventCounts
	cfg := narrowStore(&events)
	cfg.LinkMbit = func(s mesh.InstanceSpec) float64 {
		if s.Service == "front" {
			return 2
		}
		return 0
	}
	m, ctx := start(t, cfg)
	addr := frontAddrs(m)[0]
	wait := uploads(t, ctx, []string{addr}, 40) // ten times what the link carries
	time.Sleep(time.Second)
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(2 * time.Second)))
	began := time.Now()
	_, err = c.Write([]byte("POST /scan HTTP/1.1\r\nHost: store\r\nContent-Length: 300000\r\n\r\n"))
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	t.Logf("%v after %v: %v %s", res.Status, time.Since(began).Round(time.Millisecond), res.Header, body)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.True(res.Close)
	is.True(time.Since(began) < 200*time.Millisecond)
	is.Equal(wait().Total().Failed, 0)
}

// TestAnswerWaitsForLinkUntilDeadline guards against requests that are held beyond their deadline by
// the link of the node that took them, which has no room for their answers.
func TestAnswerWaitsForLinkUntilDeadline(t *testing.T) {
	is := is.New(t)
	var events eventCounts
	cfg := narrowStore(&events)
	cfg.LinkMbit = func(s mesh.InstanceSpec) float64 {
		if s.Service == "front" {
			return 2
		}
		return 0
	}
	cfg.Instances = mesh.InstanceSpecs([]string{"hafnar"}, map[string]int{"front": 1, "store": 1})
	m, ctx := start(t, cfg)
	const (
		deadline   = time.Second            // of the class any
		heldWithin = 500 * time.Millisecond // after it, by which a request has its reply
		answers    = 12                     // of 1.2 s on the link each
	)
	var wg sync.WaitGroup
	for range answers {
		wg.Go(func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+frontAddrs(m)[0]+"/large?bytes=300000", nil)
			is.NoErr(err)
			req.Host = "front" // the own backend server of the node
			began := time.Now()
			res, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer res.Body.Close()
			if took := time.Since(began); took > deadline+heldWithin {
				t.Errorf("status %d after %v, want %v at most", res.StatusCode, took, deadline+heldWithin)
			}
		})
	}
	wg.Wait()
}
