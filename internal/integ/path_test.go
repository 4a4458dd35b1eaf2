package integ

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	sample "tanagerchute/examples"
	"tanagerchute/io/admin"
)

// TestEndToEnd runs nine instances in three data centres. It sends calls, kills a
// backend server, stops a node as planned, and applies a second version.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetOptions{linger: 1 * time.Second})

	for _, in := range f.Instances {
		a := f.call(in, "GET", "skraning", "/places?call=budir/rosters", "")
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
		is.True(strings.Contains(a.body, "skraning did GET /places"))
		is.True(strings.Contains(a.body, "budir did GET /rosters")) // a backend server called another service
	}

	// After a backend server dies, its node sends calls to other upstreams.
	dead := f.instancesOf("hafnar", "budir")[0]
	dead.Upstream.Kill()
	for range 20 {
		a := f.call(dead, "GET", "budir", "/rosters", "")
		is.Equal(a.status, http.StatusOK)
	}

	// A planned stop exits with status 0, and calls to the other nodes succeed.
	stopped := f.instancesOf("selfoss", "skraning")[0]
	is.Equal(f.terminate(stopped.Node, 20*time.Second), 0)
	for _, in := range f.instancesOf("selfoss", "") {
		if in != stopped {
			is.Equal(f.call(in, "GET", "skraning", "/places", "").status, http.StatusOK)
		}
	}

	changed := bytes.Replace(sample.Nordurljos, []byte(`"800ms"`), []byte(`"700ms"`), 1)
	file := f.writeFile("mesh.jsonc", changed)
	out := f.mustRun("apply", "-store", f.StoreURL, "-parent", "1", "-wait", "-node", dead.AdminAddr, file)
	for _, c := range dataCentres {
		is.True(strings.Contains(out, "version 2 is in force in "+c))
	}
	is.True(strings.Contains(f.mustRun("status", "-node", dead.AdminAddr, "-json"), `"version": 2`))
	is.True(strings.Contains(f.mustRun("explain", "-node", dead.AdminAddr, "2"), "version_applied"))
	is.True(strings.Contains(f.mustRun("explain", "-node", dead.AdminAddr, stopped.Spec.Name), "stopped as planned"))
	is.True(strings.Contains(f.mustRun("history", "-store", f.StoreURL, "-deployment", "nordurljos"), "2  "))
}

// TestInvalidCallsAreNotRun sends calls that are malformed, too large or too deep.
// Each must be refused with the matching status and an explanation, and must not
// reach a backend server.
func TestInvalidCallsAreNotRun(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetOptions{})
	in := f.Instances[0]
	request := func(method, host, path string, body string, header map[string]string) *http.Request {
		r, err := http.NewRequest(method, "http://"+in.CallerAddr+path, strings.NewReader(body))
		is.NoErr(err)
		r.Host = host
		for k, v := range header {
			r.Header.Set(k, v)
		}
		return r
	}
	for _, c := range []struct {
		name   string
		req    *http.Request
		status int
	}{
		{"unknown service", request("GET", "nobody", "/", "", nil), 404},
		{"unknown class", request("DELETE", "skraning", "/bookings", "", nil), 404},
		{"malformed deadline", request("GET", "skraning", "/", "", map[string]string{"Tanager-Time-Left": "soon"}), 400},
		{"negative deadline", request("GET", "skraning", "/", "", map[string]string{"Tanager-Time-Left": "-1s"}), 400},
		{"malformed depth", request("GET", "skraning", "/", "", map[string]string{"Tanager-Depth": "x"}), 400},
		{"too deep", request("GET", "skraning", "/", "", map[string]string{"Tanager-Depth": "16"}), 508},
		{"large headers", request("GET", "skraning", "/", "", map[string]string{"X-Large": strings.Repeat("x", 20<<10)}), 431},
		{"large body", request("POST", "skraning", "/bookings", strings.Repeat("x", 2<<20), nil), 413},
		{"malformed key", request("POST", "skraning", "/bookings", "x", map[string]string{"Idempotency-Key": "a b"}), 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := f.send(c.req)
			is.NoErr(a.err)
			is.Equal(a.status, c.status)
			is.Equal(a.outcome, "not_run")
			is.True(len(a.body) > 5) // an explanation
		})
	}
	f.sendTruncatedBody(in)
	is.Equal(len(f.runCounts()), 0)
	// A trace context that can't be read says nothing about the call, which runs.
	a := f.send(request("GET", "skraning", "/places", "", map[string]string{"Traceparent": "00-xyz", "X-Work": "traced"}))
	is.NoErr(a.err)
	is.Equal(a.status, 200)
	is.Equal(f.runCounts(), map[string]int{"traced": 1})
}

// sendTruncatedBody sends a call whose body is shorter than its Content-Length, and
// checks that it is refused as not run.
func (f *fleet) sendTruncatedBody(in *instance) {
	f.t.Helper()
	got := sendRaw(f.t, in.CallerAddr, "POST /bookings HTTP/1.1\r\nHost: skraning\r\nContent-Length: 100\r\n\r\nhalf")
	if !strings.Contains(got, " 400 ") || !strings.Contains(got, "Tanager-Outcome: not_run") {
		f.t.Fatalf("a truncated body was answered with %q", got)
	}
}

// TestIsolatedNodeRunsNothing starts a node while the store and all other nodes are
// down. Without a configuration, it must refuse calls as not run, with
// Retry-After.
func TestIsolatedNodeRunsNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetOptions{})
	f.Platform.Kill()
	for _, in := range f.Instances {
		in.Node.Kill()
	}
	in := f.Instances[0]
	f.start(in.Node)
	f.eventually(10*time.Second, "the admin interface answers", func() bool { return len(f.Status(in, admin.ScopeNode).Nodes) == 1 })
	var a answer
	f.eventually(15*time.Second, "the node accepts calls", func() bool {
		a = f.call(in, "GET", "skraning", "/places", "")
		return a.err == nil
	})
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(a.outcome, "not_run")
	is.Equal(a.header.Get("Retry-After"), "1")
}
