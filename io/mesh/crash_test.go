package mesh_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/crash"
	"tanagerchute/io/link"
	"tanagerchute/io/mesh"
	"tanagerchute/io/peer"
	"tanagerchute/io/server"
	"tanagerchute/io/wire"
)

// The call that ends each backend server which begins to run it.
const (
	crashPath = "/places/crash"
	crashBody = "boom"
)

// Bounds on the backend servers that one crashing request may end.
const (
	crashesAllowed = 3               // before the request is held back
	lateSends      = 3               // later than stability after that
	stability      = 3 * time.Second // time in which what one node knows reaches all
)

// startCrashing starts nine instances in three data centres, whose skraning servers the
// crashing call ends.
func startCrashing(t *testing.T) (*mesh.Mesh, context.Context) {
	t.Helper()
	cfg := smallConfig()
	cfg.CrashDowntime = 2 * time.Second
	m, ctx := start(t, cfg)
	for _, in := range m.Instances {
		if in.Spec.Service == "skraning" {
			in.Backend.SetFaults(server.Faults{Crash: server.CrashingCall{Path: crashPath, Body: crashBody}})
		}
	}
	return m, ctx
}

// sendLookup sends a lookup at addr and returns the status, and the cause if it was not
// run.
func sendLookup(t *testing.T, ctx context.Context, addr, path, body string) (status int, notRun string) {
	t.Helper()
	return sendTo(t, ctx, addr, "skraning", path, body)
}

// sendTo is like sendLookup, to a service.
func sendTo(t *testing.T, ctx context.Context, addr, service, path, body string) (status int, notRun string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	req.Host = service
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	res.Body.Close()
	if res.Header.Get("Tanager-Outcome") == "not_run" {
		notRun = res.Header.Get("Tanager-Cause")
		if notRun == "crashes_servers" && res.Header.Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
	}
	return res.StatusCode, notRun
}

// checkCrashes checks the number of backend servers that have ended.
func checkCrashes(t *testing.T, m *mesh.Mesh) {
	t.Helper()
	ended := m.Crashes()
	late := 0
	for _, c := range ended {
		if len(ended) >= crashesAllowed && c.At.Sub(ended[crashesAllowed-1].At) > stability {
			late++
		}
	}
	t.Logf("%d servers ended, %d of them later than %v after the third", len(ended), late, stability)
	if late > lateSends || len(ended) > crashesAllowed+lateSends {
		t.Errorf("%d servers ended, %d of them late", len(ended), late)
	}
}

// TestCrashingCallEndsServerAfterServer guards against a call that ends each backend
// server which runs it, and is sent to the next one whenever its caller repeats it, in
// any data centre. Calls with another body, path or caller are served all the while.
func TestCrashingCallEndsServerAfterServer(t *testing.T) {
	is := is.New(t)
	m, ctx := startCrashing(t)
	othersCtx, stop := context.WithCancel(ctx)
	defer stop()
	var sent, failed atomic.Int64
	var causes sync.Map // of refusals
	var wg sync.WaitGroup
	for _, in := range m.Instances {
		for _, other := range []struct{ path, body string }{{crashPath, "other"}, {"/places", crashBody}} {
			wg.Go(func() {
				for othersCtx.Err() == nil {
					status, cause := sendLookup(t, ctx, in.Settings.Listen.Callers, other.path, other.body)
					sent.Add(1)
					if status != http.StatusOK {
						failed.Add(1)
						causes.LoadOrStore(cause, true)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	const repeats = 20
	refused := 0
	for i := range repeats {
		began := time.Now()
		if _, cause := sendLookup(t, ctx, m.Instances[i%len(m.Instances)].Settings.Listen.Callers, crashPath, crashBody); cause == "crashes_servers" {
			refused++
		}
		time.Sleep(time.Until(began.Add(time.Second)))
	}
	stop()
	wg.Wait()
	checkCrashes(t, m)
	t.Logf("%d of %d repeats held back, %d of %d other calls failed", refused, repeats, failed.Load(), sent.Load())
	causes.Range(func(cause, _ any) bool { t.Logf("cause of a failure: %q", cause); return true })
	is.True(refused >= repeats-crashesAllowed-lateSends)
	is.True(failed.Load()*100 < sent.Load()*3)
}

// TestCrashingCallHoldsBackOtherCaller guards against a call that is refused because the
// same call of another caller ends servers.
func TestCrashingCallHoldsBackOtherCaller(t *testing.T) {
	is := is.New(t)
	m, ctx := startCrashing(t)
	var skraning *mesh.Instance
	for _, in := range m.Instances {
		if in.Spec.Service == "skraning" {
			skraning = in
		} else {
			in.Backend.SetFaults(server.Faults{Crash: server.CrashingCall{Path: crashPath, Body: crashBody}})
		}
	}
	send := func(addr string) string {
		_, cause := sendTo(t, ctx, addr, "budir", crashPath, crashBody)
		time.Sleep(time.Second)
		return cause
	}
	for i := 0; send(skraning.Settings.Listen.Callers) != "crashes_servers"; i++ {
		is.True(i < 10) // it is held back in time
	}
	time.Sleep(2 * time.Second) // the servers are back
	is.Equal(send(skraning.Settings.Listen.Callers), "crashes_servers")
	ended := len(m.Crashes())
	is.True(send(skraning.Settings.Listen.Egress) != "crashes_servers") // the server of skraning calls
	is.True(len(m.Crashes()) > ended)
}

// TestCrashingCallEndsServersBehindCut guards against a call that is held back in two data
// centres, and ends servers of the third when the cut between them has healed.
func TestCrashingCallEndsServersBehindCut(t *testing.T) {
	m, ctx := startCrashing(t)
	const cut = "keflavik"
	m.Isolate(cut, mesh.Isolation{OtherDataCentres: true})
	var near, behind []*mesh.Instance
	for _, in := range m.Instances {
		if in.Spec.DataCentre == cut {
			behind = append(behind, in)
		} else {
			near = append(near, in)
		}
	}
	for i, held := 0, false; !held; i++ {
		_, cause := sendLookup(t, ctx, near[i%len(near)].Settings.Listen.Callers, crashPath, crashBody)
		held = cause == "crashes_servers"
		if i == 10 {
			t.Fatal("it is never held back")
		}
		time.Sleep(time.Second)
	}
	time.Sleep(stability)
	m.Isolate(cut, mesh.Isolation{})
	time.Sleep(2 * stability) // the data centres find each other again
	before := len(m.Crashes())
	for range 2 {
		for _, in := range behind {
			if _, cause := sendLookup(t, ctx, in.Settings.Listen.Callers, crashPath, crashBody); cause != "crashes_servers" {
				t.Errorf("%s: not held back, but %q", in.Spec.Name, cause)
			}
		}
	}
	if n := len(m.Crashes()) - before; n > 0 {
		t.Errorf("%d servers ended after the cut had healed", n)
	}
	checkCrashes(t, m)
}

// holdBack makes all nodes hold back lookups with the given path and body, for long enough
// that a trial is due.
func holdBack(t *testing.T, ctx context.Context, m *mesh.Mesh, path, body string) {
	t.Helper()
	w := crash.Identify(crash.Request{Method: "GET", Host: "skraning", Path: path, Body: []byte(body)})
	record := &wire.Crash{Work: uint64(w)}
	for i := range crashesAllowed {
		record.Ends = append(record.Ends, &wire.CrashEnd{Id: uint64(100 + i), AgeMs: int64(70_000 + 1000*i)})
	}
	s := m.Instances[0].Settings
	centres := slices.Sorted(slices.Values(s.Groups()))
	client := peer.NewClient(peer.Config{Deployment: s.Deployment + "/" + strings.Join(centres, ","), Dial: link.Direct})
	_, err := client.To(s.Listen.PeerAddr()).Gossip(ctx, &wire.GossipRequest{From: "test", Crashes: []*wire.Crash{record}})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // until all data centres know it
}

// sendEverywhere sends a lookup at all nodes at once, and returns the number of the
// responses by their cause.
func sendEverywhere(t *testing.T, ctx context.Context, m *mesh.Mesh, path, body string) map[string]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	causes := map[string]int{}
	for _, in := range m.Instances {
		wg.Go(func() {
			_, cause := sendTo(t, ctx, in.Settings.Listen.Callers, "skraning", path, body)
			mu.Lock()
			defer mu.Unlock()
			causes[cause]++
		})
	}
	wg.Wait()
	return causes
}

// TestTrialsRunAtManyNodes guards against a request that many nodes try again at the same
// time when it has been held back for a while.
func TestTrialsRunAtManyNodes(t *testing.T) {
	is := is.New(t)
	m, ctx := startCrashing(t)
	holdBack(t, ctx, m, crashPath, crashBody)
	for range 5 {
		causes := sendEverywhere(t, ctx, m, crashPath, crashBody)
		t.Logf("causes: %v", causes)
		is.True(causes["crashes_servers"] >= len(m.Instances)-1)
		time.Sleep(time.Second)
	}
	is.Equal(len(m.Crashes()), 1)
}

// TestHarmlessCallIsHeldBackForever guards against a call that is refused on and on although
// a trial of it is completed.
func TestHarmlessCallIsHeldBackForever(t *testing.T) {
	is := is.New(t)
	m, ctx := startCrashing(t)
	const path = "/places/harmless"
	holdBack(t, ctx, m, path, "")
	first := sendEverywhere(t, ctx, m, path, "")
	t.Logf("causes: %v", first)
	is.True(first["crashes_servers"] > 0)
	is.True(first[""] > 0) // the trial
	time.Sleep(time.Second)
	is.Equal(sendEverywhere(t, ctx, m, path, "")[""], len(m.Instances))
}
