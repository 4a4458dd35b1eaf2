package proof

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

var binary string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "tanagerchute")
	build := exec.Command("go", "build", "-o", binary, "tanagerchute/cmd/tanagerchute")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return serial.Run(m.Run)
}

// process is one running process of a test.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// instance is a node with its backend server.
type instance struct {
	site     mesh.InstanceSpec
	callers  string
	admin    string
	egress   string
	backend  string
	peers    *toxiproxy.Proxy
	node     *process
	upstream *process
}

// fleet is a running deployment.
type fleet struct {
	t         *testing.T
	dir       string
	proxies   *toxiproxy.ApiServer
	platform  *process
	store     string
	stores    map[string]*toxiproxy.Proxy // by data centre
	instances []*instance
	client    *http.Client
}

var centres = []string{"hafnar", "selfoss", "keflavik"}

func nordurljos() []mesh.InstanceSpec {
	return mesh.InstanceSpecs(centres, map[string]int{"skraning": 6, "budir": 3})
}

// options are what differs between tests.
type options struct {
	sites  []mesh.InstanceSpec
	linger string // of a planned stop
	slots  int
	work   string
}

// startFleet starts all processes and waits until they serve version 1.
func startFleet(t *testing.T, o options) *fleet {
	t.Helper()
	if o.sites == nil {
		o.sites = nordurljos()
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
		t: t, dir: t.TempDir(), stores: map[string]*toxiproxy.Proxy{},
		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		client:  &http.Client{Timeout: 15 * time.Second},
	}
	t.Cleanup(f.close)
	f.startPlatform()
	f.layOut(o)
	for _, in := range f.instances {
		in.node = f.run("node", "-settings", f.path(in.site.Name+".jsonc"))
		in.upstream = f.run("upstream", "-settings", f.path(in.site.Name+"-upstream.jsonc"))
	}
	f.must("apply", "-store", f.store, f.write("mesh.jsonc", sample.Nordurljos))
	f.eventually(20*time.Second, "all nodes are ready with version 1", func() bool { return f.allReady(1) })
	return f
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) write(name string, data []byte) string {
	f.t.Helper()
	if err := os.WriteFile(f.path(name), data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return f.path(name)
}

func (f *fleet) addrs(n int) []string {
	f.t.Helper()
	out, err := mesh.FreeAddrs(n)
	if err != nil {
		f.t.Fatal(err)
	}
	return out
}

// proxy starts a fault-injecting proxy in front of an address.
func (f *fleet) proxy(name, listen, to string) *toxiproxy.Proxy {
	f.t.Helper()
	p := toxiproxy.NewProxy(f.proxies, name, listen, to)
	if err := p.Start(); err != nil {
		f.t.Fatal(err)
	}
	return p
}

func (f *fleet) startPlatform() {
	addr := f.addrs(1)[0]
	f.store = "http://" + addr
	f.platform = f.run("platform", "-listen", addr)
	f.eventually(5*time.Second, "platform answers", func() bool {
		res, err := f.client.Get(f.store + "/calls")
		if err != nil {
			return false
		}
		return res.Body.Close() == nil
	})
}

// layOut chooses addresses, starts the proxies and writes the settings.
func (f *fleet) layOut(o options) {
	const perSite = 6
	a := f.addrs(perSite*len(o.sites) + len(centres))
	storeAddr := strings.TrimPrefix(f.store, "http://")
	storeAt := map[string]string{}
	for i, c := range centres {
		storeAt[c] = a[perSite*len(o.sites)+i]
		f.stores[c] = f.proxy("store-"+c, storeAt[c], storeAddr)
	}
	seeds := map[string][]string{}
	for i, s := range o.sites {
		seeds[s.DataCentre] = append(seeds[s.DataCentre], a[perSite*i+1])
	}
	for i, s := range o.sites {
		x := a[perSite*i : perSite*(i+1)]
		in := &instance{site: s, callers: x[0], admin: x[3], egress: x[4], backend: x[5]}
		in.peers = f.proxy(s.Name, x[1], x[2])
		f.instances = append(f.instances, in)
		f.writeJSON(s.Name+".jsonc", map[string]any{
			"name": s.Name, "deployment": "nordurljos", "data_centre": s.DataCentre, "data_centres": centres,
			"service": s.Service, "store": []string{"http://" + storeAt[s.DataCentre]}, "seeds": seeds,
			"listen": map[string]string{"callers": x[0], "advertise": x[1], "peers": x[2], "admin": x[3], "egress": x[4]},
			"drain":  map[string]string{"linger": o.linger}, "log": "debug",
		})
		f.writeJSON(s.Name+"-upstream.jsonc", map[string]any{
			"service": s.Service, "listen": x[5], "node": x[3], "egress": x[4], "slots": o.slots, "work": o.work,
		})
	}
}

func (f *fleet) writeJSON(name string, v any) {
	f.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	f.write(name, data)
}

// run starts a process that goes on until the test ends it.
func (f *fleet) run(args ...string) *process {
	f.t.Helper()
	p := &process{name: filepath.Base(args[len(args)-1]), args: args}
	p.log = f.path(args[0] + "-" + p.name + ".log")
	f.start(p)
	return p
}

// start starts a process, again if it has ended.
func (f *fleet) start(p *process) {
	f.t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait() // the test looks at ProcessState
		log.Close()
		close(p.done)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends a process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate stops a process as planned and reports its exit status.
func (p *process) terminate(t *testing.T, limit time.Duration) int {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(limit):
		t.Fatalf("%s did not stop in %v", p.name, limit)
	}
	return p.cmd.ProcessState.ExitCode()
}

func (f *fleet) close() {
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
		in.peers.Stop()
	}
	for _, p := range f.stores {
		p.Stop()
	}
	if f.t.Failed() {
		f.showLogs()
	}
}

// showLogs prints the end of each node's log.
func (f *fleet) showLogs() {
	logs, _ := filepath.Glob(f.path("node-*.log"))
	for _, file := range logs {
		data, _ := os.ReadFile(file)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		f.t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-15):], "\n"))
	}
}

// command runs a command of the binary to its end.
func (f *fleet) command(args ...string) (string, int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, binary, args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		f.t.Fatalf("%v: %v", args, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// must runs a command that has to succeed.
func (f *fleet) must(args ...string) string {
	f.t.Helper()
	out, code := f.command(args...)
	if code != 0 {
		f.t.Fatalf("%v: exit %d\n%s", args, code, out)
	}
	return out
}

// eventually waits until ok holds, and fails the test after limit.
func (f *fleet) eventually(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

func (f *fleet) status(in *instance, scope admin.Scope) admin.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s, err := admin.Client{Addr: in.admin}.Status(ctx, scope)
	if err != nil {
		return admin.Status{Silent: []string{err.Error()}}
	}
	return s
}

// allReady reports whether a node sees the whole fleet ready with a version.
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

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	cause   string
	body    string
	header  http.Header
	err     error
}

// ran reports whether the caller was told that its work ran.
func (a answer) ran() bool { return a.err == nil && a.outcome == "" && a.status < 500 }

// do makes a call as a caller does.
func (f *fleet) do(in *instance, method, service, path, key string) answer {
	req, err := http.NewRequest(method, "http://"+in.callers+path, bytes.NewReader([]byte("x")))
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

// faults switches the faults of a backend server.
func (f *fleet) faults(in *instance, x server.Faults) {
	f.t.Helper()
	data, err := json.Marshal(x)
	if err != nil {
		f.t.Fatal(err)
	}
	f.put("http://"+in.backend+"/standin/faults", data)
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

// runs returns how often each piece of work ran at the backend servers that
// still run, by key.
func (f *fleet) runs() map[string]int {
	f.t.Helper()
	out := map[string]int{}
	for _, in := range f.instances {
		res, err := f.client.Get("http://" + in.backend + "/standin/ledger")
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

// of returns the instances in a data centre, or of a service, or both.
func (f *fleet) of(centre, service string) []*instance {
	var out []*instance
	for _, in := range f.instances {
		if (centre == "" || in.site.DataCentre == centre) && (service == "" || in.site.Service == service) {
			out = append(out, in)
		}
	}
	return out
}
