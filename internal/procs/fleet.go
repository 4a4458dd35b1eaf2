package procs

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"tanagerchute/core/jsonc"
	"tanagerchute/io/admin"
	"tanagerchute/io/mesh"
	"tanagerchute/io/ports"
	"tanagerchute/io/setup"
)

// Deployment is the name of the deployment.
const Deployment = "nordurljos"

// DataCentres returns the data centres of the deployment.
func DataCentres() []string { return []string{"hafnar", "selfoss", "keflavik"} }

const (
	addrsPerInstance  = 6
	storeStartTimeout = 5 * time.Second
	statusTimeout     = 4 * time.Second
	pollInterval      = 20 * time.Millisecond
	controlTimeout    = 15 * time.Second // of a request to a stand-in
)

// Instance is a node with its backend server, and their addresses.
type Instance struct {
	Spec        mesh.InstanceSpec
	CallerAddr  string
	AdminAddr   string
	EgressAddr  string
	BackendAddr string
	LedgerFile  string           // of the backend server, empty without Config.LedgerFiles
	PeerProxy   *toxiproxy.Proxy // through which other nodes reach the node
	Node        *Process
	Upstream    *Process
}

// Config configures a Fleet.
type Config struct {
	Binary        string
	Dir           string // for settings and logs
	Specs         []mesh.InstanceSpec
	Drain         setup.Drain    // of the nodes
	Keys          setup.Keys     // of the nodes
	Slots         int            // of each backend server
	Work          jsonc.Duration // default duration of a call
	PipelineDepth int            // of the nodes
	LedgerFiles   bool           // backend servers write their ledgers to files
}

// Fleet is a deployment of separate processes.
type Fleet struct {
	Platform     *Process
	StoreURL     string                      // not through a proxy
	StoreProxies map[string]*toxiproxy.Proxy // by data centre
	Instances    []*Instance
	cfg          Config
	proxyServer  *toxiproxy.ApiServer
	client       *http.Client
}

// Start starts all processes. It doesn't wait until the nodes are ready, nor does it
// publish a configuration. The caller must call Stop, also after an error.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg: cfg, StoreProxies: map[string]*toxiproxy.Proxy{},
		proxyServer: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		client:      &http.Client{Timeout: controlTimeout},
	}
	if err := f.startPlatform(); err != nil {
		return f, err
	}
	if err := f.configureInstances(); err != nil {
		return f, err
	}
	for _, in := range f.Instances {
		if err := in.Node.Start(); err != nil {
			return f, err
		}
		if err := in.Upstream.Start(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Path returns the path of a file in the directory of the fleet.
func (f *Fleet) Path(name string) string { return filepath.Join(f.cfg.Dir, name) }

// newProcess returns a process that has not been started.
func (f *Fleet) newProcess(args ...string) *Process {
	name := filepath.Base(args[len(args)-1])
	return &Process{Name: name, LogFile: f.Path(args[0] + "-" + name + ".log"), binary: f.cfg.Binary, args: args}
}

func (f *Fleet) startPlatform() error {
	addrs, err := ports.Addrs(1)
	if err != nil {
		return err
	}
	f.StoreURL = "http://" + addrs[0]
	f.Platform = f.newProcess("platform", "-listen", addrs[0])
	if err := f.Platform.Start(); err != nil {
		return err
	}
	return Eventually(storeStartTimeout, "the store answers", func() bool {
		res, err := f.client.Get(f.StoreURL + "/calls")
		return err == nil && res.Body.Close() == nil
	})
}

// configureInstances chooses addresses, starts the proxies, and writes the settings
// files of the nodes and backend servers.
func (f *Fleet) configureInstances() error {
	centres := DataCentres()
	addrs, err := ports.Addrs(addrsPerInstance*len(f.cfg.Specs) + len(centres))
	if err != nil {
		return err
	}
	storeAddrs := addrs[addrsPerInstance*len(f.cfg.Specs):]
	storeURLs := map[string]string{}
	for i, c := range centres {
		storeURLs[c] = "http://" + storeAddrs[i]
		if f.StoreProxies[c], err = f.startProxy("store-"+c, storeAddrs[i], strings.TrimPrefix(f.StoreURL, "http://")); err != nil {
			return err
		}
	}
	seeds := map[string][]string{}
	for i, s := range f.cfg.Specs {
		seeds[s.DataCentre] = append(seeds[s.DataCentre], addrs[addrsPerInstance*i+1])
	}
	for i, s := range f.cfg.Specs {
		n := setup.Node{
			Name: s.Name, Deployment: Deployment, DataCentre: s.DataCentre, DataCentres: centres,
			Service: s.Service, Store: []string{storeURLs[s.DataCentre]}, Seeds: seeds, Drain: f.cfg.Drain, Keys: f.cfg.Keys,
			PipelineDepth: f.cfg.PipelineDepth, Log: "debug",
		}
		if err := f.configureInstance(n, addrs[addrsPerInstance*i:addrsPerInstance*(i+1)]); err != nil {
			return err
		}
	}
	return nil
}

// configureInstance adds the instance of the node with the given settings, which get
// the given addresses.
func (f *Fleet) configureInstance(n setup.Node, addrs []string) error {
	n.Listen = setup.Listen{Callers: addrs[0], Advertise: addrs[1], Peers: addrs[2], Admin: addrs[3], Egress: addrs[4]}
	in := &Instance{
		Spec:       mesh.InstanceSpec{Name: n.Name, DataCentre: n.DataCentre, Service: n.Service},
		CallerAddr: addrs[0], AdminAddr: addrs[3], EgressAddr: addrs[4], BackendAddr: addrs[5],
	}
	u := setup.Upstream{Service: n.Service, Listen: addrs[5], Node: addrs[3], Egress: addrs[4], Slots: f.cfg.Slots, Work: f.cfg.Work}
	if f.cfg.LedgerFiles {
		in.LedgerFile = f.Path(n.Name + "-ledger.jsonl")
		u.Ledger = in.LedgerFile
	}
	nodeFile, upstreamFile := f.Path(n.Name+".jsonc"), f.Path(n.Name+"-upstream.jsonc")
	if err := errors.Join(writeJSON(nodeFile, n), writeJSON(upstreamFile, u)); err != nil {
		return err
	}
	in.Node = f.newProcess("node", "-settings", nodeFile)
	in.Upstream = f.newProcess("upstream", "-settings", upstreamFile)
	f.Instances = append(f.Instances, in)
	var err error
	in.PeerProxy, err = f.startProxy(n.Name, addrs[1], addrs[2])
	return err
}

func writeJSON(file string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

// Stop ends all processes and proxies.
func (f *Fleet) Stop() {
	all := []*Process{f.Platform}
	for _, in := range f.Instances {
		all = append(all, in.Node, in.Upstream)
		if in.PeerProxy != nil {
			in.PeerProxy.Stop()
		}
	}
	for _, p := range all {
		if p == nil || p.Exited == nil {
			continue
		}
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	for _, p := range f.StoreProxies {
		if p != nil {
			p.Stop()
		}
	}
}

// Status returns the status that a node reports. A failed request is reported in the
// field Silent.
func (f *Fleet) Status(in *Instance, scope admin.Scope) admin.Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := admin.Client{Addr: in.AdminAddr}.Status(ctx, scope)
	if err != nil {
		return admin.Status{Silent: []string{err.Error()}}
	}
	return s
}

// AllReady reports whether each node sees all nodes ready, with at least the given
// version.
func (f *Fleet) AllReady(version uint64) bool {
	for _, in := range f.Instances {
		s := f.Status(in, admin.ScopeFleet)
		if len(s.Nodes) != len(f.Instances) || len(s.Silent) > 0 {
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

// Eventually waits until ok returns true. It returns an error after timeout.
func Eventually(timeout time.Duration, condition string, ok func() bool) error {
	began := time.Now()
	for !ok() {
		if time.Since(began) > timeout {
			return errors.Errorf("not within %v: %s", timeout, condition)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
