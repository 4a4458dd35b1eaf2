// Package mesh runs a small deployment in one process: the stand-in of the
// platform, nodes, and stand-in backend servers, all over loopback sockets. It
// is for the demonstration, for measurements and for tests.
//
// # Usage
//
//	m, err := mesh.New(mesh.Config{Document: sample.Nordurljos, Sites: sites})
//	err = m.Start(ctx)
//	defer m.Close()
package mesh

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"tanagerchute"
	"tanagerchute/core/config"
	"tanagerchute/core/event"
	"tanagerchute/core/jsonc"
	"tanagerchute/io/etcd"
	"tanagerchute/io/feed"
	"tanagerchute/io/ledger"
	"tanagerchute/io/link"
	"tanagerchute/io/node"
	"tanagerchute/io/plat"
	"tanagerchute/io/proxy"
	"tanagerchute/io/server"
	"tanagerchute/io/setup"
)

// Site is one instance: a node with its backend server.
type InstanceSpec struct {
	Name       string
	DataCentre string
	Service    string
}

// Config configures a Mesh.
type Config struct {
	Document        []byte
	Instances       []InstanceSpec
	OneWay          time.Duration        // between data centres
	RetransmitDelay func() time.Duration // additional delay of a segment between data centres
	Slots           int
	Work            time.Duration
	Linger          time.Duration // of a planned stop, 0 for the default
	Platform        plat.Config
	Log             *zap.Logger
	OnEvent         func(event.Event)
	OnCall          func(proxy.CallResult)
	Policy          proxy.Policy
	Mode            feed.Mode
	NoHedge         bool
	NoSeeds         bool // nodes find each other through the store only
	NoBackends      bool // nodes without backend servers
}

// Instance is a running site.
type Instance struct {
	Spec           InstanceSpec
	Settings       setup.Node
	Node           *node.Node
	Backend        *server.Server
	backendHTTP    *http.Server
	stopAnnouncing context.CancelFunc
	nodeDone       chan struct{}
}

// Mesh is a running deployment.
type Mesh struct {
	cfg          Config
	doc          *config.Document
	Platform     *plat.Server
	StoreURL     string
	platformHTTP *http.Server
	stopPlatform context.CancelFunc
	mu           sync.Mutex
	Instances    []*Instance
	dataCentres  []string
	seeds        map[string][]string
	centreByAddr map[string]string          // data centre by address
	blackholes   map[string]*link.Blackhole // by data centre, of what is dialled there
	ctx          context.Context
	cancel       context.CancelFunc
}

// Sites spreads the upstreams of each service over the data centres in turn.
func InstanceSpecs(dataCentres []string, services map[string]int) []InstanceSpec {
	var out []InstanceSpec
	n := 0
	names := make([]string, 0, len(services))
	for s := range services {
		names = append(names, s)
	}
	slices.Sort(names)
	for _, s := range names {
		for i := range services[s] {
			c := dataCentres[n%len(dataCentres)]
			n++
			out = append(out, InstanceSpec{Name: fmt.Sprintf("%s-%s-%d", c, s, i+1), DataCentre: c, Service: s})
		}
	}
	return out
}

// New returns a mesh that has not started.
func New(cfg Config) (*Mesh, error) {
	doc, err := config.Parse("document", cfg.Document)
	if err != nil {
		return nil, err
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Slots == 0 {
		cfg.Slots = 12
	}
	m := &Mesh{cfg: cfg, doc: doc, seeds: map[string][]string{}, centreByAddr: map[string]string{}, blackholes: map[string]*link.Blackhole{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for _, s := range cfg.Instances {
		if !slices.Contains(m.dataCentres, s.DataCentre) {
			m.dataCentres = append(m.dataCentres, s.DataCentre)
			m.blackholes[s.DataCentre] = link.NewBlackhole()
		}
	}
	return m, nil
}

// seedsPerCentre is the number of addresses of a data centre in the settings.
const seedsPerDataCentre = 3

// Start starts the platform, all nodes and all backend servers. It does not
// wait for them to be ready.
func (m *Mesh) Start() error {
	if err := m.startPlatform(); err != nil {
		return err
	}
	const addrsPerInstance = 4
	addrs, err := FreeAddrs(addrsPerInstance * len(m.cfg.Instances))
	if err != nil {
		return err
	}
	for i, s := range m.cfg.Instances {
		a := addrs[addrsPerInstance*i:]
		in := &Instance{Spec: s, Settings: m.nodeSettings(s, setup.Listen{Callers: a[0], Peers: a[1], Egress: a[2], Admin: a[3]})}
		m.Instances = append(m.Instances, in)
		m.centreByAddr[a[1]] = s.DataCentre
		if len(m.seeds[s.DataCentre]) < seedsPerDataCentre {
			m.seeds[s.DataCentre] = append(m.seeds[s.DataCentre], a[1])
		}
	}
	for i := range m.Instances {
		if err := m.StartInstance(i); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mesh) nodeSettings(s InstanceSpec, l setup.Listen) setup.Node {
	hedge := !m.cfg.NoHedge
	n := setup.Node{
		Name: s.Name, Deployment: m.doc.Deployment, DataCentre: s.DataCentre, DataCentres: m.dataCentres,
		Service: s.Service, Listen: l, Store: []string{m.StoreURL}, Hedge: &hedge,
	}
	if !m.cfg.NoSeeds {
		n.Seeds = m.seeds
	}
	if m.cfg.Linger > 0 {
		n.Drain.Linger = jsonc.Duration(m.cfg.Linger)
	}
	return n.WithDefaults()
}

func (m *Mesh) startPlatform() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	m.Platform = plat.New(m.cfg.Platform)
	m.StoreURL = "http://" + l.Addr().String()
	m.platformHTTP = &http.Server{Handler: m.Platform}
	go func() { _ = m.platformHTTP.Serve(l) }() // ends with Close
	ctx, cancel := context.WithCancel(m.ctx)
	m.stopPlatform = cancel
	go m.Platform.Run(ctx)
	return nil
}

// Dial returns the dialer of a node in a data centre.
func (m *Mesh) dialFrom(centre string) link.Dial {
	delayed := link.Delay(link.Direct, func(addr string) link.Path {
		target, known := m.centreByAddr[addr]
		switch {
		case known && target == centre:
			return link.Path{}
		case known || "http://"+addr == m.StoreURL && centre != m.dataCentres[0]:
			return link.Path{OneWay: m.cfg.OneWay, RetransmitDelay: m.cfg.RetransmitDelay}
		}
		return link.Path{}
	})
	return m.blackholes[centre].Dial(delayed)
}

// Isolation is what a data centre is cut off from.
type Isolation struct {
	Store        bool
	OtherCentres bool // all other data centres, in both directions
}

// Isolate cuts a data centre off, or heals it if nothing is cut. Open
// connections go silent; they are not closed.
func (m *Mesh) Isolate(centre string, is Isolation) {
	for _, c := range m.dataCentres {
		if c != centre {
			m.blackholes[c].Set(func(addr string) bool { return is.OtherCentres && m.centreByAddr[addr] == centre })
		}
	}
	m.blackholes[centre].Set(func(addr string) bool {
		target, known := m.centreByAddr[addr]
		if !known {
			return is.Store
		}
		return is.OtherCentres && target != centre
	})
}

// Silence makes all open connections between nodes go silent, while new ones
// work.
func (m *Mesh) BlackholeOpenConns() {
	for _, c := range m.blackholes {
		c.DropOpen(func(addr string) bool { return m.centreByAddr[addr] != "" })
	}
}

// Store returns a client of the platform's store, as an operator has it.
func (m *Mesh) Store() tanagerchute.Store {
	return etcd.New(etcd.Config{Endpoints: []string{m.StoreURL}})
}

// StartInstance starts the node and the backend server of a site, which may
// have been stopped or killed before.
func (m *Mesh) StartInstance(i int) error {
	in := m.Instances[i]
	dial := m.dialFrom(in.Spec.DataCentre)
	n, err := node.New(node.Config{
		Settings: in.Settings, Store: etcd.New(etcd.Config{Endpoints: []string{m.StoreURL}, Dial: dial}),
		Log: m.cfg.Log, Dial: dial, OnCall: m.cfg.OnCall, OnEvent: m.cfg.OnEvent,
		Policy: m.cfg.Policy, Mode: m.cfg.Mode,
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	in.Node = n
	in.nodeDone = make(chan struct{})
	done := in.nodeDone
	m.mu.Unlock()
	go func() {
		defer close(done)
		if err := n.Run(context.Background()); err != nil {
			m.cfg.Log.Error("node_failed", zap.String("node", in.Spec.Name), zap.Error(err))
		}
	}()
	if m.cfg.NoBackends {
		return nil
	}
	return m.StartBackend(i)
}

// StartBackend starts the backend server of a site.
func (m *Mesh) StartBackend(i int) error {
	in := m.Instances[i]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "backend server")
	}
	in.Backend = server.New(server.Config{
		Service: in.Spec.Service, Slots: m.cfg.Slots, Work: m.cfg.Work, Egress: in.Settings.Listen.Egress,
	})
	in.backendHTTP = &http.Server{Handler: in.Backend}
	go func() { _ = in.backendHTTP.Serve(l) }() // ends with KillBackend or Close
	ctx, cancel := context.WithCancel(m.ctx)
	in.stopAnnouncing = cancel
	go in.Backend.Announce(ctx, in.adminClient(), l.Addr().String())
	return nil
}

// KillBackend ends the backend server of a site at once.
func (m *Mesh) KillBackend(i int) {
	in := m.Instances[i]
	if in.stopAnnouncing != nil {
		in.stopAnnouncing()
		_ = in.backendHTTP.Close()
	}
}

// Kill ends the node and the backend server of a site at once.
func (m *Mesh) Kill(i int) {
	m.Instances[i].Node.Kill()
	m.KillBackend(i)
	<-m.Instances[i].nodeDone
}

// Stop stops the node of a site as planned, and then its backend server.
func (m *Mesh) Stop(i int) {
	m.Instances[i].Node.StartDrain()
	<-m.Instances[i].nodeDone
	m.KillBackend(i)
}

// Callers returns the addresses for callers of all instances.
func (m *Mesh) CallerAddrs() []string {
	var out []string
	for _, in := range m.Instances {
		out = append(out, in.Settings.Listen.Callers)
	}
	return out
}

// Apply publishes a document as the next version.
func (m *Mesh) Apply(ctx context.Context, op string, content []byte) (uint64, error) {
	l := ledger.New(ledger.Config{Store: m.Store(), Deployment: m.doc.Deployment})
	head, err := l.Head(ctx, lookupNone)
	if err != nil {
		return 0, err
	}
	v, err := l.Publish(ctx, ledger.Draft{Parent: head, Op: op, Author: "mesh", At: time.Now(), Content: content})
	return v.Number, err
}

// WaitVersion waits until all nodes have a version in force.
func (m *Mesh) WaitVersion(ctx context.Context, number uint64) error {
	return m.waitAll(ctx, func(in *Instance) bool { return in.Node.Stamp().Number >= number })
}

// WaitReady waits until all nodes serve calls and see all others.
func (m *Mesh) WaitReady(ctx context.Context) error {
	counts := map[string]int{}
	for _, in := range m.Instances {
		counts[in.Spec.DataCentre]++
	}
	return m.waitAll(ctx, func(in *Instance) bool {
		return in.Node.Serving() && m.seesAll(in, counts)
	})
}

// sees reports whether a node sees its whole data centre and all services.
func (m *Mesh) seesAll(in *Instance, counts map[string]int) bool {
	view := in.Node.View()
	if len(view.UpIDs()) < counts[in.Spec.DataCentre] || len(view.Remote.Reachable) < len(m.dataCentres)-1 {
		return false
	}
	if m.cfg.NoBackends {
		return true
	}
	ready := 0
	for _, r := range view.Members {
		if r.AcceptsCalls() {
			ready++
		}
	}
	return ready >= counts[in.Spec.DataCentre]
}

func (m *Mesh) waitAll(ctx context.Context, cond func(*Instance) bool) error {
	for {
		all := true
		for _, in := range m.Instances {
			all = all && cond(in)
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// Close ends everything at once.
func (m *Mesh) Close() {
	for _, in := range m.Instances {
		if in.Node == nil {
			continue
		}
		in.Node.Kill()
		<-in.nodeDone
		if in.backendHTTP != nil {
			_ = in.backendHTTP.Close()
		}
	}
	m.cancel()
	if m.platformHTTP != nil {
		_ = m.platformHTTP.Close()
	}
}
