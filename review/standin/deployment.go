package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments, as their sheets name them.
const (
	heartbeatInterval = 1500 * time.Millisecond
	stabilityWindow   = 3 * time.Second
	drainTime         = 2 * time.Second
	configTime        = 2 * time.Second
	restartDelay      = 500 * time.Millisecond
)

// recorder writes record.txt. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	w     *bufio.Writer
	f     *os.File
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), w: bufio.NewWriter(f), f: f}, nil
}

// add writes one line with the time since the start in seconds.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// machine is one machine of the deployment with its node and its upstream.
type machine struct {
	d        *deployment
	index    int
	name     string
	ip, zone string
	service  string
	outbound string
	ready    string
	control  string
	settings string // path of the settings file
	up       *upstream

	memory memory

	mu        sync.Mutex
	closed    bool // the deployment ends
	process   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	troubleAt time.Time // of the last kill, stop or freeze
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir      string // temporary
	rec      *recorder
	store    *store
	storeAt  string // address of the store
	machines []*machine
	services []string
}

// lastPort is the last port that was handed out. The ports are below those that the kernel
// gives to connections.
var lastPort = 18000 + 2*(os.Getpid()%2000)

func isFree(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// freePort returns a port that is free at ip and whose successor is free at 127.0.0.1.
func freePort(ip string) int {
	for {
		lastPort += 2
		if isFree(ip, lastPort) && isFree("127.0.0.1", lastPort+1) {
			return lastPort
		}
	}
}

// newDeployment starts the store, and upstreams with their nodes: one for each entry of
// services, in three zones in turn.
func newDeployment(rec *recorder, services []string, document string, cfg upstreamConfig) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, rec: rec, store: newStore(), services: services}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	d.store.operatorPut("op/config", []byte(document))
	net2 := 1 + os.Getpid()%250
	for i, service := range services {
		m := &machine{d: d, index: i, ip: fmt.Sprintf("127.%d.9.%d", net2, i+1), zone: []string{"hafnar", "selfoss", "keflavik"}[i%3], service: service}
		m.name = fmt.Sprintf("sidecar-%s-%d", m.zone, i/3+1)
		if m.up, err = newUpstream(m, fmt.Sprintf("i-%d", i), cfg); err != nil {
			return nil, err
		}
		m.outbound = fmt.Sprintf("%s:%d", m.ip, freePort(m.ip))
		m.ready = fmt.Sprintf("%s:%d", m.ip, freePort(m.ip))
		m.control = fmt.Sprintf("%s:%d", m.ip, freePort(m.ip))
		if err := m.writeSettings(true); err != nil {
			return nil, err
		}
		d.machines = append(d.machines, m)
	}
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
		go m.up.beat()
	}
	return d, nil
}

func (m *machine) writeSettings(bootstrap bool) error {
	if m.settings == "" {
		m.settings = filepath.Join(m.d.dir, m.name+".conf")
	}
	internal := freePort(m.ip)
	if old, err := os.ReadFile(m.settings); err == nil { // keep the ports
		text := strings.Replace(string(old), "Self.Bootstrap=true", fmt.Sprintf("Self.Bootstrap=%v", bootstrap), 1)
		return os.WriteFile(m.settings, []byte(text), 0o600)
	}
	text := fmt.Sprintf(`Self.NodeName=%s
Self.Role=node
Self.MachineClass=sidecar
Self.Serves=sidecar
Self.Ip=%s
Self.Zone=%s
Self.Region=is-south
Self.BearLoss=false
Self.Bootstrap=%v
Self.Limits.CpuShare=0.32
Self.Limits.Cores=1
Self.Limits.MemoryMb=284
Self.Limits.MaxFds=4100
Self.Limits.LinkMbps=1000.0
Self.Limits.DiskMb=0
Self.AppAddr=%s
Self.Service=%s
Network.Listen.Inbound=%s:%d
Network.Listen.Outbound=%s
Network.Listen.Ready=%s
Network.Listen.Control=%s
Network.InternalPorts=%d,%d
Network.Seeds=
Network.Zones.hafnar=is-south
Network.Zones.selfoss=is-south
Network.Zones.keflavik=is-south
Platform.Discovery=static_list
Platform.Entry=static_list
Platform.HeartbeatMs=1500
Platform.Platform.Addr=%s
Platform.Platform.form=kv
Platform.Platform.WritesPerS=400
Platform.Platform.ReadsPerS=2000
Platform.Platform.HistoryS=20
Platform.Platform.ValueBytes=1048576
Platform.Platform.TtlMinMs=1000
Terms.Contracts=base,drain,config,cost,retry,recover,platform
Terms.FaultTolerance.Machines=2
Terms.FaultTolerance.Zones=1
Terms.FaultTolerance.Regions=0
Terms.ContractBounds.SeedLagS=3
Terms.ContractBounds.ReuseAfterS=2
Terms.ContractBounds.StabilityWindowMs=3000
Terms.ContractBounds.AckMs=4000
Terms.ContractBounds.CatchUpS=4
Terms.ContractBounds.DrainMs=2000
Terms.ContractBounds.GraceS=6
Terms.ContractBounds.LossSlackMs=200
Terms.ContractBounds.ConfigMs=2000
Terms.ContractBounds.DowngradeSlackMs=250
Terms.ContractBounds.MaxStretchMs=5000
Terms.ContractBounds.RetryBudgetRatio=0.2
Terms.ContractBounds.BudgetWindowS=10
Terms.ContractBounds.RetryBudgetSlack=56
Terms.ContractBounds.RecoverS=15
`, m.name, m.ip, m.zone, bootstrap, m.up.addr, m.service, m.ip, freePort(m.ip), m.outbound, m.ready, m.control, internal, internal+1, m.d.storeAt)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// running holds the nodes that have been started and have not ended, see killNodes.
var running struct {
	sync.Mutex
	ended bool
	cmds  map[*exec.Cmd]bool
}

// startNode starts cmd unless all nodes were killed.
func startNode(cmd *exec.Cmd) error {
	running.Lock()
	defer running.Unlock()
	if running.ended {
		return errors.New("the case has ended")
	}
	if running.cmds == nil {
		running.cmds = map[*exec.Cmd]bool{}
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	running.cmds[cmd] = true
	return nil
}

// killNodes kills all nodes, and makes startNode start no more.
func killNodes() {
	running.Lock()
	defer running.Unlock()
	running.ended = true
	for cmd := range running.cmds {
		_ = cmd.Process.Kill()
	}
}

// start starts the node as the deploy file says.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/tanagerchute", "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.d.dir, "TANAGERCHUTE_CONFIG=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := startNode(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		running.Lock()
		delete(running.cmds, cmd)
		running.Unlock()
		close(exited)
	}()
	m.process, m.exited, m.startedAt, m.troubleAt = cmd, exited, time.Now(), time.Now()
	m.d.rec.add("%s: node started, process %d", m.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.troubleAt = time.Now()
	_ = m.process.Process.Signal(s)
	m.d.rec.add("%s: %v sent to the node", m.name, s)
}

// restart starts the node again.
func (m *machine) restart() error {
	if err := m.writeSettings(false); err != nil {
		return err
	}
	return m.start()
}

// inTouch reports whether the machine had no trouble for the stability window.
func (m *machine) inTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.troubleAt) > stabilityWindow
}

// isReady reports whether the node answers the readiness check with 200.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + m.ready + "/tanagerchute/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (d *deployment) awaitReady(within time.Duration) bool {
	end := time.Now().Add(within)
	for _, m := range d.machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.mu.Lock()
		m.closed = true
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.exited
		}
		m.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}
