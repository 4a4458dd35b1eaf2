package mesh_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/mesh"
	"tanagerchute/io/server"
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
	for i := 0; len(m.Crashes()) < crashesAllowed && i < 20; i++ {
		sendLookup(t, ctx, near[i%len(near)].Settings.Listen.Callers, crashPath, crashBody)
		time.Sleep(500 * time.Millisecond)
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
