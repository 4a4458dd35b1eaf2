package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. Each machine has a loopback address of its own, but for the port that nodes
// open at 127.0.0.1, which is the second of their internal ports.
const (
	portReady, portInbound, portOutbound, portControl = 8141, 8146, 8147, 8144
	portApp, portMetrics                              = 8145, 9464
	internalPorts                                     = 16 // of each machine
	// firstInternalPort and portBlock place the internal ports of one case. The last port of its
	// block is held by the case, so that another one at the same time takes another block.
	firstInternalPort, portBlock, numBlocks = 10_000, 256, 80
)

// machine is one sidecar machine.
type machine struct {
	name, ip, zone, service string
	internal                int // first port for the communication between nodes
}

func (m machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// deployment is a small deployment on loopback addresses.
type deployment struct {
	root     string // of the repository
	dir      string // temporary
	command  []string
	zones    []string
	machines []machine
	store    string // address
	extra    []string
	record   *record
	guard    net.Listener // holds the block of internal ports

	mu    sync.Mutex
	nodes []*node
	ended bool
}

// node is a process of the project.
type node struct {
	m    machine
	cmd  *exec.Cmd
	done chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// newDeployment returns perZone machines of each zone, all with the same service.
func newDeployment(root string, r *record, zones []string, perZone int, service string) (*deployment, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return nil, errors.New("the deploy file names no command")
	}
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, command: strings.Fields(string(match[1])), zones: zones, record: r}
	prefix, internal, guard, err := freeAddresses(perZone * len(zones))
	if err != nil {
		return nil, err
	}
	d.guard = guard
	for i, z := range zones {
		for j := range perZone {
			k := i*perZone + j
			d.machines = append(d.machines, machine{
				fmt.Sprintf("sidecar-%s-%d", z, j+1), fmt.Sprintf("%s.%d", prefix, k+1), z, service, internal + k*internalPorts,
			})
		}
	}
	return d, nil
}

// freeAddresses returns the first three numbers of n loopback addresses, and the first of their
// internal ports, at which all ports are free, with the listener that holds their block.
func freeAddresses(n int) (prefix string, internal int, guard net.Listener, err error) {
	for range numBlocks {
		prefix = fmt.Sprintf("127.%d.%d", 16+rand.N(200), rand.N(250))
		internal = firstInternalPort + rand.N(numBlocks)*portBlock
		guard, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", internal+portBlock-1))
		if err != nil {
			continue
		}
		if allFree(prefix, internal, n) {
			return prefix, internal, guard, nil
		}
		_ = guard.Close()
	}
	return "", 0, nil, errors.New("no free loopback addresses")
}

func allFree(prefix string, internal, n int) bool {
	for i := range n {
		ip, port := fmt.Sprintf("%s.%d", prefix, i+1), internal+i*internalPorts
		addrs := []string{fmt.Sprintf("%s:%d", ip, port), fmt.Sprintf("127.0.0.1:%d", port+1)}
		for _, p := range []int{portReady, portInbound, portOutbound, portControl, portApp, portMetrics} {
			addrs = append(addrs, fmt.Sprintf("%s:%d", ip, p))
		}
		for _, a := range addrs {
			l, err := net.Listen("tcp", a)
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settings returns the settings file of a machine.
func (d *deployment) settings(m machine, first bool) string {
	lines := []string{
		"Self.NodeName=" + m.name, "Self.Role=node", "Self.MachineClass=sidecar", "Self.Serves=sidecar", "Self.Ip=" + m.ip,
		"Self.Zone=" + m.zone, "Self.Region=home", "Self.BearLoss=false", fmt.Sprintf("Self.Bootstrap=%v", first),
		"Self.Limits.CpuShare=0.32", "Self.Limits.Cores=1", "Self.Limits.MemoryMb=284", "Self.Limits.MaxFds=4100", "Self.Limits.LinkMbps=1000.0", "Self.Limits.DiskMb=0",
		"Self.AppAddr=" + m.addr(portApp), "Self.Service=" + m.service,
		"Network.Listen.Inbound=" + m.addr(portInbound), "Network.Listen.Outbound=" + m.addr(portOutbound),
		"Network.Listen.Ready=" + m.addr(portReady), "Network.Listen.Control=" + m.addr(portControl),
		fmt.Sprintf("Network.InternalPorts=%d,%d", m.internal, m.internal+internalPorts-1), "Network.Seeds=",
		"Platform.Discovery=static_list", "Platform.Entry=static_list", "Platform.HeartbeatMs=1500",
		"Platform.Platform.Addr=" + d.store, "Platform.Platform.form=kv", "Platform.Platform.WritesPerS=400", "Platform.Platform.ReadsPerS=2000",
		"Platform.Platform.HistoryS=20", "Platform.Platform.ValueBytes=1048576", "Platform.Platform.TtlMinMs=1000",
		"Terms.FaultTolerance.Machines=2", "Terms.FaultTolerance.Zones=1", "Terms.FaultTolerance.Regions=0",
		"Terms.ContractBounds.SeedLagS=3", "Terms.ContractBounds.ReuseAfterS=2", "Terms.ContractBounds.StabilityWindowMs=3000",
		"Terms.ContractBounds.AckMs=4000", "Terms.ContractBounds.CatchUpS=4", "Terms.ContractBounds.DrainMs=2000", "Terms.ContractBounds.GraceS=6",
		"Terms.ContractBounds.LossSlackMs=200", "Terms.ContractBounds.ConfigMs=2000", "Terms.ContractBounds.DowngradeSlackMs=250",
		"Terms.ContractBounds.MaxStretchMs=5000", "Terms.ContractBounds.RetryBudgetRatio=0.2", "Terms.ContractBounds.BudgetWindowS=10",
		"Terms.ContractBounds.RetryBudgetSlack=56", "Terms.ContractBounds.RecoverS=15",
	}
	for _, z := range d.zones {
		lines = append(lines, "Network.Zones."+z+"=home")
	}
	return strings.Join(append(lines, d.extra...), "\n") + "\n"
}

// start starts the process of a machine.
func (d *deployment) start(m machine, first bool) (*node, error) {
	path := filepath.Join(d.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings(m, first)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(d.root, d.command[0]), d.command[1:]...)
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TANAGERCHUTE_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	_ = log.Close()
	n := &node{m: m, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(n.done)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		_ = cmd.Process.Kill()
		return nil, errors.New("the case has ended")
	}
	d.nodes = append(d.nodes, n)
	d.record.add("node %s starts, process %d", m.name, cmd.Process.Pid)
	return n, nil
}

// signal sends a signal to the process of the node.
func (d *deployment) signal(n *node, s syscall.Signal) {
	d.record.add("node %s gets %v", n.m.name, s)
	_ = n.cmd.Process.Signal(s)
}

// ready reports whether the node answers the platform's readiness check with 200.
func (n *node) ready() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + n.m.addr(portReady) + "/tanagerchute/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// readyTimeout is how long the nodes may take to get ready at the start of a case.
const readyTimeout = 30 * time.Second

// awaitReady waits until all the nodes are ready. If they are not in time, the record gets the end
// of their logs.
func (d *deployment) awaitReady(nodes []*node, timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(nodes) {
			return nil
		}
	}
	for _, n := range nodes {
		if log, err := os.ReadFile(filepath.Join(d.dir, n.m.name+".log")); err == nil && !n.ready() {
			d.record.add("node %s is not ready: %s", n.m.name, log[max(0, len(log)-1000):])
		}
	}
	return errors.New("the nodes are not ready in time")
}

// maxRunTime bounds a case.
const maxRunTime = 115 * time.Second

// endOnSignal ends all processes and this one when it is told to end, or after maxRunTime.
func (d *deployment) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	d.end()
	os.Exit(exitNotRun)
}

// end kills all processes that were started, and removes their files.
func (d *deployment) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	d.ended = true
	for _, n := range d.nodes {
		_ = n.cmd.Process.Kill()
	}
	for _, n := range d.nodes {
		<-n.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}
