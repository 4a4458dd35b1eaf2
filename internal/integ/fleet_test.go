package integ

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tanagerchute/core/jsonc"
	sample "tanagerchute/examples"
	"tanagerchute/internal/procs"
	"tanagerchute/internal/serial"
	"tanagerchute/io/fakekv"
	"tanagerchute/io/mesh"
	"tanagerchute/io/server"
	"tanagerchute/io/setup"
)

// binaryPath is the path of the tanagerchute binary, which TestMain builds.
var binaryPath string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the binary and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "integ")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if binaryPath, err = procs.Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return serial.Run(m.Run)
}

// instance is a node with its backend server.
type instance = procs.Instance

// fleet is a deployment of separate processes.
type fleet struct {
	*procs.Fleet
	t      *testing.T
	client *http.Client
}

var dataCentres = procs.DataCentres()

// nordurljosSpecs returns the nine instances of the nordurljos deployment.
func nordurljosSpecs() []mesh.InstanceSpec {
	return mesh.InstanceSpecs(dataCentres, map[string]int{"skraning": 6, "budir": 3})
}

// fleetOptions are the settings that differ between tests. Fields with the zero
// value get a default.
type fleetOptions struct {
	specs  []mesh.InstanceSpec
	linger time.Duration // drain.linger of the nodes
	// serveOn sets drain.serve_on of the nodes.
	serveOn bool
	slots   int
	work    time.Duration
	// revokeWithin sets keys.revoke_within of the nodes.
	revokeWithin time.Duration
}

// startFleet starts all processes and waits until all nodes are ready with
// version 1.
func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	if o.specs == nil {
		o.specs = nordurljosSpecs()
	}
	p, err := procs.Start(procs.Config{
		Binary: binaryPath, Dir: t.TempDir(), Specs: o.specs,
		Drain: setup.Drain{Linger: jsonc.Duration(cmp.Or(o.linger, 6*time.Second)), ServeOn: o.serveOn},
		Keys:  setup.Keys{RevokeWithin: jsonc.Duration(o.revokeWithin)},
		Slots: cmp.Or(o.slots, 12), Work: jsonc.Duration(cmp.Or(o.work, 5*time.Millisecond)),
	})
	f := &fleet{Fleet: p, t: t, client: &http.Client{Timeout: 15 * time.Second}}
	t.Cleanup(f.stopAll)
	if err != nil {
		t.Fatal(err)
	}
	f.mustRun("apply", "-store", f.StoreURL, f.writeFile("mesh.jsonc", sample.Nordurljos))
	f.eventually(20*time.Second, "all nodes are ready with version 1", func() bool { return f.AllReady(1) })
	return f
}

func (f *fleet) writeFile(name string, data []byte) string {
	f.t.Helper()
	if err := os.WriteFile(f.Path(name), data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return f.Path(name)
}

// start starts a process again after it ended.
func (f *fleet) start(p *procs.Process) {
	f.t.Helper()
	if err := p.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// terminate stops a process as planned, and returns its exit status.
func (f *fleet) terminate(p *procs.Process, timeout time.Duration) int {
	f.t.Helper()
	code, err := p.Terminate(timeout)
	if err != nil {
		f.t.Fatal(err)
	}
	return code
}

// stopAll ends all processes and proxies. If the test failed, it prints the logs.
func (f *fleet) stopAll() {
	f.Stop()
	if f.t.Failed() {
		f.printLogs()
	}
}

// printLogs prints the last lines of the log of each node.
func (f *fleet) printLogs() {
	logs, _ := filepath.Glob(f.Path("node-*.log"))
	for _, file := range logs {
		data, _ := os.ReadFile(file)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		f.t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-15):], "\n"))
	}
}

// mustRun runs a command and fails the test if the exit status is not 0.
func (f *fleet) mustRun(args ...string) string {
	f.t.Helper()
	out, code, err := f.Run(args...)
	if err != nil || code != 0 {
		f.t.Fatalf("%v: exit %d %v\n%s", args, code, err, out)
	}
	return out
}

// eventually waits until ok returns true, and fails the test after timeout.
func (f *fleet) eventually(timeout time.Duration, condition string, ok func() bool) {
	f.t.Helper()
	if err := procs.Eventually(timeout, condition, ok); err != nil {
		f.t.Fatal(err)
	}
}

// answer is the result of a call as its caller sees it.
type answer struct {
	status  int
	outcome string // not_run, unknown, or empty if a backend server answered
	cause   string
	body    string
	header  http.Header
	err     error
}

// reportsRun reports whether the answer implies that the work of the call ran.
func (a answer) reportsRun() bool { return a.err == nil && a.outcome == "" && a.status < 500 }

// call sends a call to a node as a caller does, without resends by net/http. The key
// is left out if it is empty.
func (f *fleet) call(in *instance, method, service, path, key string) answer {
	req, err := http.NewRequest(method, "http://"+in.CallerAddr+path, bytes.NewReader([]byte("x")))
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil
	req.Host = service
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return f.send(req)
}

func (f *fleet) send(req *http.Request) answer {
	var conn httptrace.GotConnInfo
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info },
	}))
	res, err := f.client.Do(req)
	if err != nil {
		return answer{err: fmt.Errorf("%w (connection idle for %v, reused %v)", err, conn.IdleTime, conn.Reused)}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, res.Header.Get("Tanager-Outcome"), res.Header.Get("Tanager-Cause"), string(body), res.Header, err}
}

// setFaults sets the faults that a backend server injects.
func (f *fleet) setFaults(in *instance, faults server.Faults) {
	f.t.Helper()
	if err := f.SetFaults(in, faults); err != nil {
		f.t.Fatal(err)
	}
}

// setStoreFaults sets the faults that the store injects.
func (f *fleet) setStoreFaults(faults fakekv.Faults) {
	f.t.Helper()
	if err := f.SetStoreFaults(faults); err != nil {
		f.t.Fatal(err)
	}
}

// runCounts returns the number of runs of each key, according to the ledgers of the
// backend servers that are still up.
func (f *fleet) runCounts() map[string]int {
	f.t.Helper()
	out := map[string]int{}
	for _, in := range f.Instances {
		entries, err := f.Ledger(in)
		if err != nil && in.Upstream.HasExited() {
			continue // killed by the test
		}
		if err != nil {
			f.t.Fatal(err)
		}
		for _, e := range entries {
			out[e.Key]++
		}
	}
	return out
}

// instancesOf returns the instances of a service in a data centre. An empty argument
// matches all.
func (f *fleet) instancesOf(centre, service string) []*instance {
	var out []*instance
	for _, in := range f.Instances {
		if (centre == "" || in.Spec.DataCentre == centre) && (service == "" || in.Spec.Service == service) {
			out = append(out, in)
		}
	}
	return out
}
