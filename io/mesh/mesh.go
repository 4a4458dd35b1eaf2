// Package mesh runs a small deployment in one process, for the demonstration,
// for measurements and for tests. It consists of nodes, stand-in backend servers
// and a stand-in for the platform's key-value store, all connected by loopback
// sockets. Latency between data centres and network faults can be injected.
//
// A version of the configuration document is in force at a node once the node
// applies it to calls. Seeds are the peer addresses that a starting node contacts
// first.
//
// # Usage
//
//	m, err := mesh.New(mesh.Config{Document: sample.Nordurljos, Instances: specs})
//	err = m.Start()
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
	"tanagerchute/io/fakekv"
	"tanagerchute/io/feed"
	"tanagerchute/io/ledger"
	"tanagerchute/io/link"
	"tanagerchute/io/node"
	"tanagerchute/io/ports"
	"tanagerchute/io/proxy"
	"tanagerchute/io/server"
	"tanagerchute/io/setup"
)

// InstanceSpec describes an instance, which is a node and its backend server.
type InstanceSpec struct {
	Name       string
	DataCentre string
	Service    string // served by the backend server
}

// Config configures a Mesh.
type Config struct {
	Document        []byte // configuration document, of which New uses only the deployment name
	Instances       []InstanceSpec
	OneWay          time.Duration              // network delay between data centres, in each direction
	LinkMbit        func(InstanceSpec) float64 // rate of the link of an instance in each direction, Mbit/s, nil or 0 for no bound
	LinkUnstated    bool                       // leaves the rates of links out of the settings
	RetransmitDelay func() time.Duration       // additional delay of the next segment between data centres, see link.Path
	Slots           int                        // concurrent calls per backend server, 0 for 12
	Work            time.Duration              // default duration of a call at a backend server
	Linger          time.Duration              // how long a stopping node still accepts calls (setting drain.linger), 0 for the default
	Platform        fakekv.Config              // rate limits of the stand-in store
	Log             *zap.Logger                // nil for no log
	OnEvent         func(event.Event)          // called with each event that a node records, if set
	OnCall          func(proxy.CallResult)     // called at the end of each call from a caller, if set
	Policy          proxy.Policy               // how nodes choose upstreams and resend calls
	Mode            feed.Mode                  // how versions are distributed to the nodes
	NoHedge         bool                       // disables hedging, which sends an unanswered idempotent call to a second upstream
	NoSeeds         bool                       // leaves seeds out of the settings, so that nodes find each other through the store only
	NoBackends      bool                       // runs nodes without backend servers
	RevokeWithin    time.Duration              // setting keys.revoke_within of the nodes
	PipelineDepth   int                        // pipelined requests of a caller that run at once (setting pipeline_depth)
	Quota           setup.Quota                // bounds of the quotas of client accounts
	CrashDowntime   time.Duration              // time until a backend server that has crashed starts again, see server.Faults.Crash
}

// Instance is an instance of a Mesh. Its node and its backend server are replaced
// when they are started again.
type Instance struct {
	Spec           InstanceSpec
	Settings       setup.Node
	Node           *node.Node
	Backend        *server.Server
	backendHTTP    *http.Server
	backendAddr    string // host:port of the backend server
	stopAnnouncing context.CancelFunc
	nodeDone       chan struct{} // closed when the node has stopped
}

// Mesh is a deployment that runs in this process.
type Mesh struct {
	cfg          Config
	doc          *config.Document
	Platform     *fakekv.Server
	StoreURL     string
	platformHTTP *http.Server
	stopPlatform context.CancelFunc
	mu           sync.Mutex
	Instances    []*Instance
	dataCentres  []string
	seeds        map[string][]string        // by data centre, for the settings
	links        map[string]*instanceLink   // by peer address
	centreByAddr map[string]string          // data centre of each peer address
	blackholes   map[string]*link.Blackhole // for the connections that nodes of a data centre dial
	crashes      []Crash
	ctx          context.Context
	cancel       context.CancelFunc
}

// InstanceSpecs returns the given number of instances for each service,
// distributed over the data centres in round-robin order.
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
	m := &Mesh{cfg: cfg, doc: doc, seeds: map[string][]string{}, centreByAddr: map[string]string{}, links: map[string]*instanceLink{}, blackholes: map[string]*link.Blackhole{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for _, s := range cfg.Instances {
		if !slices.Contains(m.dataCentres, s.DataCentre) {
			m.dataCentres = append(m.dataCentres, s.DataCentre)
			m.blackholes[s.DataCentre] = link.NewBlackhole()
		}
	}
	return m, nil
}

// seedsPerDataCentre is the number of nodes of each data centre that the settings
// name as seeds.
const seedsPerDataCentre = 3

// Start starts the platform stand-in, all nodes and all backend servers. It
// does not wait for them to become ready.
func (m *Mesh) Start() error {
	if err := m.startPlatform(); err != nil {
		return err
	}
	const addrsPerInstance = 4
	addrs, err := ports.Addrs(addrsPerInstance * len(m.cfg.Instances))
	if err != nil {
		return err
	}
	for i, s := range m.cfg.Instances {
		a := addrs[addrsPerInstance*i:]
		in := &Instance{Spec: s, Settings: m.nodeSettings(s, setup.Listen{Callers: a[0], Peers: a[1], Egress: a[2], Admin: a[3]})}
		m.Instances = append(m.Instances, in)
		m.centreByAddr[a[1]] = s.DataCentre
		m.links[a[1]] = newInstanceLink(m.linkMbit(s))
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
		Service: s.Service, Listen: l, Store: []string{m.StoreURL}, Hedge: &hedge, PipelineDepth: m.cfg.PipelineDepth,
	}
	if !m.cfg.LinkUnstated {
		n.Link.MbitPerSecond = m.linkMbit(s)
	}
	if !m.cfg.NoSeeds {
		n.Seeds = m.seeds
	}
	if m.cfg.Linger > 0 {
		n.Drain.Linger = jsonc.Duration(m.cfg.Linger)
	}
	n.Keys.RevokeWithin = jsonc.Duration(m.cfg.RevokeWithin)
	n.Quota = m.cfg.Quota
	return n.WithDefaults()
}

func (m *Mesh) startPlatform() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the platform stand-in")
	}
	m.Platform = fakekv.New(m.cfg.Platform)
	m.StoreURL = "http://" + l.Addr().String()
	m.platformHTTP = &http.Server{Handler: m.Platform}
	go func() { _ = m.platformHTTP.Serve(l) }() // ends with Close
	ctx, cancel := context.WithCancel(m.ctx)
	m.stopPlatform = cancel
	go m.Platform.Run(ctx)
	return nil
}

// dialFrom returns the Dial with which the node of an instance opens connections, around
// next. It adds the delays between data centres and of narrow links, and is subject to
// injected faults. The store is in the first data centre.
func (m *Mesh) dialFrom(in *Instance, next link.Dial) link.Dial {
	dataCentre := in.Spec.DataCentre
	delayed := link.Delay(next, func(addr string) link.Path {
		target, known := m.centreByAddr[addr]
		switch {
		case known && target == dataCentre:
			return narrowPath(m.links[in.Settings.Listen.Peers], m.links[addr])
		case known || "http://"+addr == m.StoreURL && dataCentre != m.dataCentres[0]:
			return link.Path{OneWay: m.cfg.OneWay, RetransmitDelay: m.cfg.RetransmitDelay}
		}
		return link.Path{}
	})
	return m.blackholes[dataCentre].Dial(delayed)
}

// Store returns a client of the platform's store. Like that of an operator, it is
// not subject to delays or injected network faults.
func (m *Mesh) Store() tanagerchute.Store {
	return etcd.New(etcd.Config{Endpoints: []string{m.StoreURL}})
}

// StartInstance starts the node and the backend server of instance i, also again
// after Stop or Kill.
func (m *Mesh) StartInstance(i int) error {
	in := m.Instances[i]
	wrapDial := func(next link.Dial) link.Dial { return m.dialFrom(in, next) }
	n, err := node.New(node.Config{
		Settings: in.Settings, Store: etcd.New(etcd.Config{Endpoints: []string{m.StoreURL}, Dial: wrapDial(link.Direct)}),
		Log: m.cfg.Log, WrapDial: wrapDial, OnCall: m.cfg.OnCall, OnEvent: m.cfg.OnEvent,
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

// StartBackend starts the backend server of instance i.
func (m *Mesh) StartBackend(i int) error { return m.startBackend(i, "127.0.0.1:0", server.Faults{}) }

// startBackend is like StartBackend, at an address and with faults.
func (m *Mesh) startBackend(i int, addr string, faults server.Faults) error {
	in := m.Instances[i]
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen for the backend server")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	crash := sync.OnceFunc(func() { m.crashBackend(i) })
	in.Backend = server.New(server.Config{
		Service: in.Spec.Service, Slots: m.cfg.Slots, Work: m.cfg.Work, Egress: in.Settings.Listen.Egress, OnCrash: crash,
	})
	in.Backend.SetFaults(faults)
	in.backendAddr = l.Addr().String()
	in.backendHTTP = &http.Server{Handler: in.Backend}
	go func() { _ = in.backendHTTP.Serve(l) }() // ends with KillBackend or Close
	ctx, cancel := context.WithCancel(m.ctx)
	in.stopAnnouncing = cancel
	go in.Backend.Announce(ctx, in.adminClient(), l.Addr().String())
	return nil
}

// Stop drains the node of instance i, waits until it has stopped, and then stops
// its backend server.
func (m *Mesh) Stop(i int) {
	m.Instances[i].Node.StartDrain()
	<-m.Instances[i].nodeDone
	m.KillBackend(i)
}

// CallerAddrs returns the address of each instance that accepts calls from callers.
func (m *Mesh) CallerAddrs() []string {
	var out []string
	for _, in := range m.Instances {
		out = append(out, in.Settings.Listen.Callers)
	}
	return out
}

// Apply publishes a document as the next version and returns its number. Op is
// the unique id of the operation.
func (m *Mesh) Apply(ctx context.Context, op string, content []byte) (uint64, error) {
	l := ledger.New(ledger.Config{Store: m.Store(), Deployment: m.doc.Deployment})
	head, err := l.Head(ctx, lookupNone)
	if err != nil {
		return 0, err
	}
	v, err := l.Publish(ctx, ledger.Draft{Parent: head, Op: op, Author: "mesh", At: time.Now(), Content: content})
	return v.Number, err
}

// Close stops everything immediately.
func (m *Mesh) Close() {
	m.cancel()
	for _, in := range m.Instances {
		if in.Node == nil {
			continue
		}
		in.Node.Kill()
		<-in.nodeDone
		m.mu.Lock()
		if in.backendHTTP != nil {
			_ = in.backendHTTP.Close()
		}
		m.mu.Unlock()
	}
	if m.platformHTTP != nil {
		_ = m.platformHTTP.Close()
	}
}
