package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Config configures a Rig.
type Config struct {
	Binary string // the program that the deploy file builds
	Record *Record
	Zones  []string
	// Bounds are further lines of the settings, such as Terms.ContractBounds.DrainMs=2000.
	Settings []string
}

// Rig is a small deployment on loopback addresses.
type Rig struct {
	cfg       Config
	Store     *Store
	storeAddr string
	storeHTTP *http.Server
	dir       string
	net       string // first three bytes of the addresses of the machines
	machines  []*Machine
}

// Machine is a machine of the platform with a node and an upstream.
type Machine struct {
	rig      *Rig
	Name     string
	Zone     string
	Service  string
	IP       string
	AppAddr  string
	Outbound string
	Control  string
	Ready    string
	settings string // path of the settings file
	node     *exec.Cmd
	exited   chan struct{}
}

// New starts the store of a deployment.
func New(cfg Config) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	r := &Rig{cfg: cfg, Store: NewStore(), dir: dir, net: fmt.Sprintf("127.%d.%d.", 20+pid%200, 1+pid/200%250)}
	ln, err := net.Listen("tcp", r.net+"250:0")
	if err != nil {
		return nil, err
	}
	r.storeAddr = ln.Addr().String()
	r.storeHTTP = &http.Server{Handler: r.Store}
	go func() { _ = r.storeHTTP.Serve(ln) }() // returns when the server is closed
	return r, nil
}

// Dir returns the temporary folder.
func (r *Rig) Dir() string { return r.dir }

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	for _, m := range r.machines {
		m.KillNode()
	}
	_ = r.storeHTTP.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// freeAddrs returns n addresses with ports that are free at ip.
func freeAddrs(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// freePeerPort returns a port that is free at ip, and whose successor is free at 127.0.0.1.
func freePeerPort(ip string) (int, error) {
	for range 100 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		_ = ln.Close()
		next, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		if err == nil {
			_ = next.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free pair of ports at %s", ip)
}

// AddMachine adds a machine. Its node is not started.
func (r *Rig) AddMachine(zone, service string) (*Machine, error) {
	n := len(r.machines) + 1
	m := &Machine{rig: r, Name: fmt.Sprintf("sidecar-%s-%d", zone, n), Zone: zone, Service: service, IP: fmt.Sprint(r.net, n)}
	addrs, err := freeAddrs(m.IP, 5)
	if err != nil {
		return nil, err
	}
	peerPort, err := freePeerPort(m.IP)
	if err != nil {
		return nil, err
	}
	m.AppAddr, m.Outbound, m.Control, m.Ready = addrs[0], addrs[1], addrs[2], addrs[3]
	lines := []string{
		"Self.NodeName=" + m.Name, "Self.Role=node", "Self.MachineClass=sidecar", "Self.Serves=sidecar", "Self.Ip=" + m.IP,
		"Self.Zone=" + zone, "Self.Region=region-1", "Self.BearLoss=false", "Self.Bootstrap=true",
		"Self.Limits.CpuShare=0.32", "Self.Limits.Cores=1", "Self.Limits.MemoryMb=284", "Self.Limits.MaxFds=4100",
		"Self.Limits.LinkMbps=1000.0", "Self.Limits.DiskMb=0", "Self.AppAddr=" + m.AppAddr, "Self.Service=" + service,
		"Network.Listen.Inbound=" + addrs[4], "Network.Listen.Outbound=" + m.Outbound, "Network.Listen.Ready=" + m.Ready,
		"Network.Listen.Control=" + m.Control, fmt.Sprintf("Network.InternalPorts=%d,%d", peerPort, peerPort+15), "Network.Seeds=",
		"Platform.Discovery=static_list", "Platform.Entry=static_list", "Platform.HeartbeatMs=1500", "Platform.Platform.Addr=" + r.storeAddr,
		"Platform.Platform.form=kv", "Platform.Platform.WritesPerS=400", "Platform.Platform.ReadsPerS=2000", "Platform.Platform.HistoryS=20",
		"Platform.Platform.ValueBytes=1048576", "Platform.Platform.TtlMinMs=1000", "Terms.Contracts=base,drain,config,cost,retry,recover,platform",
		"Terms.FaultTolerance.Machines=2", "Terms.FaultTolerance.Zones=1", "Terms.FaultTolerance.Regions=0",
		"Terms.ContractBounds.SeedLagS=3", "Terms.ContractBounds.ReuseAfterS=2", "Terms.ContractBounds.StabilityWindowMs=3000",
		"Terms.ContractBounds.AckMs=4000", "Terms.ContractBounds.CatchUpS=4", "Terms.ContractBounds.DrainMs=2000", "Terms.ContractBounds.GraceS=6",
		"Terms.ContractBounds.LossSlackMs=200", "Terms.ContractBounds.ConfigMs=2000", "Terms.ContractBounds.DowngradeSlackMs=250",
		"Terms.ContractBounds.MaxStretchMs=5000", "Terms.ContractBounds.RetryBudgetRatio=0.2", "Terms.ContractBounds.BudgetWindowS=10",
		"Terms.ContractBounds.RetryBudgetSlack=56", "Terms.ContractBounds.RecoverS=15",
	}
	for _, z := range r.cfg.Zones {
		lines = append(lines, "Network.Zones."+z+"=region-1")
	}
	lines = append(lines, r.cfg.Settings...)
	m.settings = filepath.Join(r.dir, m.Name+".conf")
	if err := os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	r.machines = append(r.machines, m)
	return m, nil
}

// SetSetting changes a line of the settings file.
func (m *Machine) SetSetting(key, value string) error {
	data, err := os.ReadFile(m.settings)
	if err != nil {
		return err
	}
	lines := strings.Split(string(data), "\n")
	for i, l := range lines {
		if strings.HasPrefix(l, key+"=") {
			lines[i] = key + "=" + value
		}
	}
	return os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")), 0o600)
}

// StartNode starts the node as the deploy file says.
func (m *Machine) StartNode() error {
	log, err := os.OpenFile(filepath.Join(m.rig.dir, m.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(m.rig.cfg.Binary, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TANAGERCHUTE_CONFIG=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.rig.cfg.Record.Add("node %s started, process %d", m.Name, cmd.Process.Pid)
	m.node = cmd
	exited := make(chan struct{})
	m.exited = exited
	go func() {
		err := cmd.Wait()
		m.rig.cfg.Record.Add("node %s ended: %v", m.Name, err)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the node.
func (m *Machine) Signal(s syscall.Signal) {
	if m.node == nil {
		return
	}
	m.rig.cfg.Record.Add("node %s gets %v", m.Name, s)
	_ = m.node.Process.Signal(s) // fails only if the process has ended
}

// KillNode kills the node and waits until it has ended.
func (m *Machine) KillNode() {
	if m.node == nil {
		return
	}
	m.Signal(syscall.SIGKILL)
	<-m.exited
	m.node = nil
}

// WaitNode waits until the node has ended by itself.
func (m *Machine) WaitNode(timeout time.Duration) bool {
	select {
	case <-m.exited:
		m.node = nil
		return true
	case <-time.After(timeout):
		return false
	}
}

// IsReady reports whether the node says that it is ready.
func (m *Machine) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + m.Ready + "/tanagerchute/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Await waits until ok returns true.
func Await(timeout time.Duration, ok func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// Document is a configuration of the operator.
type Document struct {
	Version   string           `json:"Version"`
	Limits    map[string]any   `json:"Limits"`
	Listeners []map[string]any `json:"Listeners"`
	Clusters  []map[string]any `json:"Clusters"`
	Tenants   []map[string]any `json:"Tenants,omitempty"`
}

// Limits returns the usual limits.
func Limits() map[string]any {
	return map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 26, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

// Rule returns a rule to one service.
func Rule(name, kind, prefix, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Kind": kind, "TargetLatencyMs": 600, "Priority": 1, "Match": map[string]any{"Prefix": prefix},
		"Action": map[string]any{"Service": service, "TimeoutMs": timeoutMs, "MaxAttempts": attempts},
	}
}

// Cluster returns a service.
func Cluster(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 110}
}

// WriteConfig writes a configuration as the operator does.
func (r *Rig) WriteConfig(d Document) {
	data, err := json.Marshal(d)
	if err != nil {
		panic(err) // the document holds only plain values
	}
	r.cfg.Record.Add("operator writes %s", data)
	r.Store.Put("op/config", data)
}
