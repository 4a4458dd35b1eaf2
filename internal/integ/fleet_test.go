package integ

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	sample "tanagerchute/examples"
	"tanagerchute/internal/serial"
	"tanagerchute/io/admin"
	"tanagerchute/io/mesh"
	"tanagerchute/io/server"
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
	binaryPath = filepath.Join(dir, "tanagerchute")
	build := exec.Command("go", "build", "-o", binaryPath, "tanagerchute/cmd/tanagerchute")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return serial.Run(m.Run)
}

// process is a process that a test starts. It may be started again after it ended.
type process struct {
	name    string
	args    []string
	logFile string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// instance is a node with its backend server, and their addresses.
type instance struct {
	spec        mesh.InstanceSpec
	callerAddr  string
	adminAddr   string
	egressAddr  string
	backendAddr string
	peerProxy   *toxiproxy.Proxy
	node        *process
	upstream    *process
}

// fleet is a deployment of separate processes.
type fleet struct {
	t            *testing.T
	dir          string
	proxyServer  *toxiproxy.ApiServer
	platform     *process
	storeURL     string
	storeProxies map[string]*toxiproxy.Proxy // by data centre
	instances    []*instance
	client       *http.Client
}

var dataCentres = []string{"hafnar", "selfoss", "keflavik"}

// nordurljosSpecs returns the nine instances of the nordurljos deployment.
func nordurljosSpecs() []mesh.InstanceSpec {
	return mesh.InstanceSpecs(dataCentres, map[string]int{"skraning": 6, "budir": 3})
}

// fleetOptions are the settings that differ between tests. Fields with the zero
// value get a default.
type fleetOptions struct {
	specs  []mesh.InstanceSpec
	linger string // drain.linger of the nodes
	slots  int
	work   string
}

// startFleet starts all processes and waits until all nodes are ready with
// version 1.
func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	if o.specs == nil {
		o.specs = nordurljosSpecs()
	}
	if o.linger == "" {
		o.linger = "6s"
	}
	if o.slots == 0 {
		o.slots = 12
	}
	if o.work == "" {
		o.work = "5ms"
	}
	f := &fleet{
		t: t, dir: t.TempDir(), storeProxies: map[string]*toxiproxy.Proxy{},
		proxyServer: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		client:      &http.Client{Timeout: 15 * time.Second},
	}
	t.Cleanup(f.stopAll)
	f.startPlatform()
	f.configureInstances(o)
	for _, in := range f.instances {
		in.node = f.startProcess("node", "-settings", f.path(in.spec.Name+".jsonc"))
		in.upstream = f.startProcess("upstream", "-settings", f.path(in.spec.Name+"-upstream.jsonc"))
	}
	f.mustRun("apply", "-store", f.storeURL, f.writeFile("mesh.jsonc", sample.Nordurljos))
	f.eventually(20*time.Second, "all nodes are ready with version 1", func() bool { return f.allReady(1) })
	return f
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) writeFile(name string, data []byte) string {
	f.t.Helper()
	if err := os.WriteFile(f.path(name), data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return f.path(name)
}

func (f *fleet) freeAddrs(n int) []string {
	f.t.Helper()
	out, err := mesh.FreeAddrs(n)
	if err != nil {
		f.t.Fatal(err)
	}
	return out
}

// startProxy starts a fault-injecting proxy that listens at one address and
// connects to another.
func (f *fleet) startProxy(name, listen, to string) *toxiproxy.Proxy {
	f.t.Helper()
	p := toxiproxy.NewProxy(f.proxyServer, name, listen, to)
	if err := p.Start(); err != nil {
		f.t.Fatal(err)
	}
	return p
}

func (f *fleet) startPlatform() {
	addr := f.freeAddrs(1)[0]
	f.storeURL = "http://" + addr
	f.platform = f.startProcess("platform", "-listen", addr)
	f.eventually(5*time.Second, "platform answers", func() bool {
		res, err := f.client.Get(f.storeURL + "/calls")
		if err != nil {
			return false
		}
		return res.Body.Close() == nil
	})
}

// configureInstances chooses addresses, starts the proxies, and writes the
// settings files of the nodes and backend servers.
func (f *fleet) configureInstances(o fleetOptions) {
	const addrsPerInstance = 6
	addrs := f.freeAddrs(addrsPerInstance*len(o.specs) + len(dataCentres))
	storeAddr := strings.TrimPrefix(f.storeURL, "http://")
	storeProxyAddr := map[string]string{}
	for i, c := range dataCentres {
		storeProxyAddr[c] = addrs[addrsPerInstance*len(o.specs)+i]
		f.storeProxies[c] = f.startProxy("store-"+c, storeProxyAddr[c], storeAddr)
	}
	seeds := map[string][]string{}
	for i, s := range o.specs {
		seeds[s.DataCentre] = append(seeds[s.DataCentre], addrs[addrsPerInstance*i+1])
	}
	for i, s := range o.specs {
		own := addrs[addrsPerInstance*i : addrsPerInstance*(i+1)]
		in := &instance{spec: s, callerAddr: own[0], adminAddr: own[3], egressAddr: own[4], backendAddr: own[5]}
		in.peerProxy = f.startProxy(s.Name, own[1], own[2])
		f.instances = append(f.instances, in)
		f.writeJSON(s.Name+".jsonc", map[string]any{
			"name": s.Name, "deployment": "nordurljos", "data_centre": s.DataCentre, "data_centres": dataCentres,
			"service": s.Service, "store": []string{"http://" + storeProxyAddr[s.DataCentre]}, "seeds": seeds,
			"listen": map[string]string{"callers": own[0], "advertise": own[1], "peers": own[2], "admin": own[3], "egress": own[4]},
			"drain":  map[string]string{"linger": o.linger}, "log": "debug",
		})
		f.writeJSON(s.Name+"-upstream.jsonc", map[string]any{
			"service": s.Service, "listen": own[5], "node": own[3], "egress": own[4], "slots": o.slots, "work": o.work,
		})
	}
}

func (f *fleet) writeJSON(name string, v any) {
	f.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	f.writeFile(name, data)
}

// startProcess starts a command that runs until the test ends it.
func (f *fleet) startProcess(args ...string) *process {
	f.t.Helper()
	p := &process{name: filepath.Base(args[len(args)-1]), args: args}
	p.logFile = f.path(args[0] + "-" + p.name + ".log")
	f.start(p)
	return p
}

// start starts a process, or starts it again after it ended.
func (f *fleet) start(p *process) {
	f.t.Helper()
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	p.cmd = exec.Command(binaryPath, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func() {
		_ = p.cmd.Wait() // tests read the result from ProcessState
		log.Close()
		close(p.exited)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// terminate sends SIGTERM, waits until the process has exited, and returns its exit
// status.
func (p *process) terminate(t *testing.T, timeout time.Duration) int {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(timeout):
		t.Fatalf("%s did not stop in %v", p.name, timeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// stopAll ends all processes and proxies. If the test failed, it prints the logs.
func (f *fleet) stopAll() {
	var all []*process
	for _, in := range f.instances {
		all = append(all, in.node, in.upstream)
	}
	for _, p := range append(all, f.platform) {
		if p == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, in := range f.instances {
		in.peerProxy.Stop()
	}
	for _, p := range f.storeProxies {
		p.Stop()
	}
	if f.t.Failed() {
		f.printLogs()
	}
}

// printLogs prints the last lines of the log of each node.
func (f *fleet) printLogs() {
	logs, _ := filepath.Glob(f.path("node-*.log"))
	for _, file := range logs {
		data, _ := os.ReadFile(file)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		f.t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-15):], "\n"))
	}
}

// runCommand runs a command of the binary, and returns its output and its exit
// status.
func (f *fleet) runCommand(args ...string) (string, int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, binaryPath, args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		f.t.Fatalf("%v: %v", args, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// mustRun runs a command and fails the test if the exit status is not 0.
func (f *fleet) mustRun(args ...string) string {
	f.t.Helper()
	out, code := f.runCommand(args...)
	if code != 0 {
		f.t.Fatalf("%v: exit %d\n%s", args, code, out)
	}
	return out
}

// eventually waits until ok returns true, and returns the time that it took. It
// fails the test after timeout.
func (f *fleet) eventually(timeout time.Duration, condition string, ok func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > timeout {
			f.t.Fatalf("not within %v: %s", timeout, condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// status returns the status that a node reports. A failed request is reported in
// the field Silent.
func (f *fleet) status(in *instance, scope admin.Scope) admin.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s, err := admin.Client{Addr: in.adminAddr}.Status(ctx, scope)
	if err != nil {
		return admin.Status{Silent: []string{err.Error()}}
	}
	return s
}

// allReady reports whether each node sees all nodes ready, with at least the given
// version.
func (f *fleet) allReady(version uint64) bool {
	for _, in := range f.instances {
		s := f.status(in, admin.ScopeFleet)
		if len(s.Nodes) != len(f.instances) || len(s.Silent) > 0 {
			return false
		}
		for _, x := range s.Nodes {
			if x.Version < version || !x.Ready {
				return false
			}
		}
	}
	return true
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
	req, err := http.NewRequest(method, "http://"+in.callerAddr+path, bytes.NewReader([]byte("x")))
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
	data, err := json.Marshal(faults)
	if err != nil {
		f.t.Fatal(err)
	}
	f.put("http://"+in.backendAddr+"/standin/faults", data)
}

func (f *fleet) put(url string, data []byte) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		f.t.Fatal(err)
	}
	if a := f.send(req); a.status != http.StatusOK {
		f.t.Fatalf("%s: %+v", url, a)
	}
}

// runCounts returns the number of runs of each key, according to the ledgers of the
// backend servers that are still up.
func (f *fleet) runCounts() map[string]int {
	f.t.Helper()
	out := map[string]int{}
	for _, in := range f.instances {
		res, err := f.client.Get("http://" + in.backendAddr + "/standin/ledger")
		if err != nil {
			continue // killed by the test
		}
		var entries []server.Entry
		err = json.NewDecoder(res.Body).Decode(&entries)
		res.Body.Close()
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
	for _, in := range f.instances {
		if (centre == "" || in.spec.DataCentre == centre) && (service == "" || in.spec.Service == service) {
			out = append(out, in)
		}
	}
	return out
}
