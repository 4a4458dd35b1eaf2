// Package setup reads the settings of a process from a file in JSON with
// comments, and validates all of them before the process opens anything.
//
// # Usage
//
//	s, err := setup.ReadNode("node.jsonc") // err has all findings
package setup

import (
	"net"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/jsonc"
)

// Node holds the settings of a node process.
type Node struct {
	Name        string   `json:"name"` // of the instance
	Deployment  string   `json:"deployment"`
	DataCentre  string   `json:"data_centre"`
	DataCentres []string `json:"data_centres"` // all of the deployment
	// Region, if it is set, is the set of data centres that form one membership
	// group. A node has a record of each member of its own group, and only a
	// summary of each other group. Without regions, each data centre is a group.
	Region  string   `json:"region,omitempty"`
	Regions []string `json:"regions,omitempty"` // all of the deployment
	Service string   `json:"service"`           // of the node's backend server
	Listen  Listen   `json:"listen"`
	// Store lists the URLs of the platform's key-value service.
	Store []string `json:"store,omitempty"`
	// Seeds lists peer addresses of some nodes of each group (region, or data
	// centre if there are no regions), so that a node can start while the store
	// is down.
	Seeds  map[string][]string `json:"seeds,omitempty"`
	Drain  Drain               `json:"drain,omitempty"`
	Limits Limits              `json:"limits,omitempty"`
	Trace  Trace               `json:"trace,omitempty"`
	Log    string              `json:"log,omitempty"`   // debug, info, warn or error
	Hedge  *bool               `json:"hedge,omitempty"` // send slow idempotent calls to a second upstream, true if not set
	// Backend is the address of the node's backend server, if it is known in
	// advance. A node that restarts while its backend server is running can then
	// use the server before the server announces itself again.
	Backend string `json:"backend,omitempty"`
	// FirstStart means that the whole deployment starts for the first time. No
	// backend server is running yet, so the node looks for none at Backend.
	FirstStart bool `json:"first_start,omitempty"`
	// LocalCallers means that all callers are on the node's own instance, so that
	// their requests originate from its service.
	LocalCallers bool `json:"local_callers,omitempty"`
	// KeysUnused means that no caller sends idempotency keys. The header is then
	// ignored, and no node is the home of keys.
	KeysUnused bool `json:"keys_unused,omitempty"`
	// TrustHeartbeats means that the heartbeats of an idle backend server are
	// sufficient, so that the node does not probe it.
	TrustHeartbeats bool `json:"trust_heartbeats,omitempty"`
	// PipelineDepth is the number of requests on one connection of a caller that may
	// run at once, 0 or 1 to run them one after the other.
	PipelineDepth int      `json:"pipeline_depth,omitempty"`
	Link          Link     `json:"link,omitempty"`
	Versions      Versions `json:"versions,omitempty"`
	Keys          Keys     `json:"keys,omitempty"`
	Quota         Quota    `json:"quota,omitempty"`
	Rollout       Rollout  `json:"rollout,omitempty"`
}

// Link describes the network link of the instance.
type Link struct {
	// MbitPerSecond is what it carries in each direction, 0 if it does not bound the
	// node.
	MbitPerSecond float64 `json:"mbit_per_s,omitempty"`
}

// bytesPerMbit is the number of bytes in a megabit.
const bytesPerMbit = 1e6 / 8

// BytesPerSecond returns the rate of the link in each direction, 0 if it does not bound
// the node.
func (l Link) BytesPerSecond() float64 { return l.MbitPerSecond * bytesPerMbit }

// Versions holds the settings of the distribution of configuration versions.
type Versions struct {
	// InForceWithin bounds the time from the acceptance of a version by the store to its
	// being in force, also where no watch of the store tells of it. Zero means the default,
	// 7 s.
	InForceWithin jsonc.Duration `json:"in_force_within,omitempty"`
}

// Keys holds the settings of the keys of client accounts.
type Keys struct {
	// RevokeWithin bounds how long a withdrawn key may still be served, also by a node
	// without contact to the store. Zero means that a node without contact goes on with
	// the keys that it knows.
	RevokeWithin jsonc.Duration `json:"revoke_within,omitempty"`
}

// Quota holds how far all nodes together may exceed the quota of a client account.
type Quota struct {
	Window    jsonc.Duration `json:"window,omitempty"`    // span of time in which requests are counted, 0 for no quotas
	Overshoot float64        `json:"overshoot,omitempty"` // share of the quota that may be exceeded in a window
	Slack     float64        `json:"slack,omitempty"`     // requests in a window beyond that
}

// Rollout holds the bounds on the traffic of a server version that is being rolled
// out.
type Rollout struct {
	// CanaryShare is the share of the requests of a service that a version may get until
	// it is known to be good, and CanarySlack the number of requests beyond that.
	// Without a share, no roll-out is performed.
	CanaryShare float64 `json:"canary_share,omitempty"`
	CanarySlack float64 `json:"canary_slack,omitempty"`
	// RollbackWithin bounds the time from the evidence that a version is bad to its last
	// request.
	RollbackWithin jsonc.Duration `json:"rollback_within,omitempty"`
}

// Listen holds the addresses on which a node listens, each an IP address with a
// port.
type Listen struct {
	Callers string `json:"callers"` // for requests of callers
	Peers   string `json:"peers"`   // for other nodes
	// Advertise is the address to which other nodes connect, if it differs from
	// Peers.
	Advertise string `json:"advertise,omitempty"`
	Egress    string `json:"egress,omitempty"` // for calls of the node's backend server, if it does not use Callers
	Admin     string `json:"admin"`            // for operators and the node's backend server
}

// Drain holds the settings of a planned stop.
type Drain struct {
	// Timeout is how long the node waits for the calls in flight to end.
	Timeout jsonc.Duration `json:"timeout,omitempty"`
	// Linger is how long the node keeps running at least, to answer inquiries
	// about idempotency keys. The home of a key, the node that recorded it,
	// knows whether the work under the key has run.
	Linger jsonc.Duration `json:"linger,omitempty"`
	// ServeOn means that the backend server continues to run when its node stops,
	// so that the node keeps serving calls until Linger has passed.
	ServeOn bool `json:"serve_on,omitempty"`
}

// Limits holds the limits of a node.
type Limits struct {
	RequestBytes int64 `json:"request_bytes,omitempty"` // of the body of a request
	AnswerBytes  int64 `json:"answer_bytes,omitempty"`  // of the body of an answer
	Connections  int   `json:"connections,omitempty"`   // to the backend server
	Events       int   `json:"events,omitempty"`        // kept in the journal
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes.
	MemoryMB float64 `json:"memory_mb,omitempty"`
	// RetryShare is the number of resends that each call adds to the retry
	// budget. RetrySlack is the number of resends to a service that can be saved
	// up by all nodes together.
	RetryShare float64 `json:"retry_share,omitempty"`
	RetrySlack float64 `json:"retry_slack,omitempty"`
}

// bytesPerMB is the number of bytes in the unit of Limits.MemoryMB.
const bytesPerMB = 1 << 20

// MemoryBytes returns the memory that the process may use.
func (l Limits) MemoryBytes() int64 { return int64(l.MemoryMB * bytesPerMB) }

// Trace holds the settings of the span export. Only one of OTLP and File can be
// set.
type Trace struct {
	OTLP   string         `json:"otlp,omitempty"`   // URL of a collector
	File   string         `json:"file,omitempty"`   // path, or "-" for standard error
	Slow   jsonc.Duration `json:"slow,omitempty"`   // spans that take this long are always exported
	Sample float64        `json:"sample,omitempty"` // fraction of other spans that are exported
}

// PeerAddr returns the address to which other nodes connect.
func (l Listen) PeerAddr() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peers
}

// Groups returns the names of all membership groups. The nodes of a group share
// one member table, see package fleet. Groups are the regions, or the data centres
// if the deployment has no regions.
func (n Node) Groups() []string {
	if n.Region != "" {
		return n.Regions
	}
	return n.DataCentres
}

// Group returns the name of the membership group of the node.
func (n Node) Group() string {
	if n.Region != "" {
		return n.Region
	}
	return n.DataCentre
}

// Defaults of a node.
const (
	DefaultDrainTimeout = 30 * time.Second
	DefaultLinger       = 6 * time.Second        // for callers to move to other nodes, and for new homes of keys to ask this one
	DefaultSlowSpan     = 250 * time.Millisecond // default of Trace.Slow
	DefaultMemoryMB     = 256
	minMemoryMB         = 64 // a node with fewer can't hold the state of the fleet and requests
	defaultLogLevel     = "info"
)

// Upstream holds the settings of a stand-in backend server.
type Upstream struct {
	Service string `json:"service"`
	Listen  string `json:"listen"`
	Node    string `json:"node"`   // admin address of its node
	Egress  string `json:"egress"` // egress address of its node
	Slots   int    `json:"slots"`  // number of concurrent calls
	// Work is the service time of a call.
	Work jsonc.Duration `json:"work,omitempty"`
	Log  string         `json:"log,omitempty"`
	// Ledger is a file to which the server appends its ledger, so that it outlives
	// the process.
	Ledger string `json:"ledger,omitempty"`
}

var nameRE = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// ReadNode reads and validates the settings of a node, and sets the defaults.
func ReadNode(file string) (Node, error) {
	var n Node
	c, err := decodeFile(file, &n)
	if err != nil {
		return n, err
	}
	c.checkNode(n)
	if err := c.Err(); err != nil {
		return n, err
	}
	return n.WithDefaults(), nil
}

// ReadUpstream reads and validates the settings of a stand-in backend server.
func ReadUpstream(file string) (Upstream, error) {
	var u Upstream
	c, err := decodeFile(file, &u)
	if err != nil {
		return u, err
	}
	c.checkName("service", u.Service)
	c.checkAddr("listen", u.Listen)
	c.checkAddr("node", u.Node)
	c.checkAddr("egress", u.Egress)
	if u.Slots < 1 || u.Slots > 4096 {
		c.Add("slots", "must be between 1 and 4096")
	}
	c.checkLogLevel(u.Log)
	return u, c.Err()
}

// WithDefaults returns n with defaults for the settings that are not set.
func (n Node) WithDefaults() Node {
	if n.Drain.Timeout == 0 {
		n.Drain.Timeout = jsonc.Duration(DefaultDrainTimeout)
	}
	if n.Drain.Linger == 0 {
		n.Drain.Linger = jsonc.Duration(DefaultLinger)
	}
	if n.Limits.MemoryMB == 0 {
		n.Limits.MemoryMB = DefaultMemoryMB
	}
	if n.Trace.Slow == 0 {
		n.Trace.Slow = jsonc.Duration(DefaultSlowSpan)
	}
	if n.Log == "" {
		n.Log = defaultLogLevel
	}
	if n.Hedge == nil {
		on := true
		n.Hedge = &on
	}
	return n
}

// validator collects findings about the values of settings, in addition to those
// of jsonc.Decode about syntax and types.
type validator struct{ *jsonc.Findings }

func decodeFile(file string, dst any) (*validator, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	findings, err := jsonc.Decode(file, data, dst)
	if err != nil {
		return nil, err
	}
	return &validator{findings}, nil
}

func (c *validator) checkName(path, v string) {
	if !nameRE.MatchString(v) {
		c.Add(path, "%q is not a name of lower-case letters, digits and dashes", v)
	}
}

// CheckAddr returns an error if v is not an IP address with a port.
func CheckAddr(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return errors.Errorf("%q is not an IP number with a port", v)
	}
	return nil
}

func (c *validator) checkAddr(path, v string) {
	if err := CheckAddr(v); err != nil {
		c.Add(path, "%v", err)
	}
}

func (c *validator) checkLogLevel(v string) {
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, v) {
		c.Add("log", "%q is not debug, info, warn or error", v)
	}
}

func (c *validator) checkNode(n Node) {
	c.checkName("name", n.Name)
	c.checkName("deployment", n.Deployment)
	c.checkName("data_centre", n.DataCentre)
	c.checkName("service", n.Service)
	c.checkDataCentres(n)
	c.checkAddr("listen.callers", n.Listen.Callers)
	c.checkAddr("listen.peers", n.Listen.Peers)
	if n.Listen.Advertise != "" {
		c.checkAddr("listen.advertise", n.Listen.Advertise)
	}
	if n.Listen.Egress != "" || !n.LocalCallers {
		c.checkAddr("listen.egress", n.Listen.Egress)
		c.checkLoopback("listen.egress", n.Listen.Egress)
	}
	c.checkAddr("listen.admin", n.Listen.Admin)
	c.checkLoopback("listen.admin", n.Listen.Admin)
	if n.Backend != "" {
		c.checkAddr("backend", n.Backend)
	}
	c.checkDiscovery(n)
	c.checkLogLevel(n.Log)
	if n.Trace.OTLP != "" && n.Trace.File != "" {
		c.Add("trace", "names both a collector and a file")
	}
	if n.Trace.Sample < 0 || n.Trace.Sample > 1 {
		c.Add("trace.sample", "must be between 0 and 1")
	}
	if n.Limits.RequestBytes < 0 || n.Limits.AnswerBytes < 0 || n.Limits.Connections < 0 || n.Limits.Events < 0 || n.Limits.RetryShare < 0 || n.Limits.RetrySlack < 0 {
		c.Add("limits", "must not be negative")
	}
	if n.Limits.MemoryMB != 0 && n.Limits.MemoryMB < minMemoryMB {
		c.Add("limits.memory_mb", "must be at least %d", minMemoryMB)
	}
	if n.Drain.Timeout < 0 || n.Drain.Linger < 0 {
		c.Add("drain", "must not be negative")
	}
	c.checkBounds(n)
}

// checkBounds checks the settings that bound requests, the use of the link, keys, quotas
// and roll-outs.
func (c *validator) checkBounds(n Node) {
	if n.PipelineDepth < 0 {
		c.Add("pipeline_depth", "must not be negative")
	}
	if n.Link.MbitPerSecond < 0 {
		c.Add("link.mbit_per_s", "must not be negative")
	}
	if n.Versions.InForceWithin < 0 {
		c.Add("versions.in_force_within", "must not be negative")
	}
	if n.Keys.RevokeWithin < 0 {
		c.Add("keys.revoke_within", "must not be negative")
	}
	if n.Quota.Window < 0 || n.Quota.Overshoot < 0 || n.Quota.Slack < 0 {
		c.Add("quota", "must not be negative")
	}
	if r := n.Rollout; r.CanaryShare < 0 || r.CanaryShare > 1 {
		c.Add("rollout.canary_share", "must be between 0 and 1")
	} else if r.CanarySlack < 0 || r.RollbackWithin < 0 {
		c.Add("rollout", "must not be negative")
	}
}

func (c *validator) checkDataCentres(n Node) {
	if !slices.Contains(n.DataCentres, n.DataCentre) {
		c.Add("data_centres", "does not list the data centre of this node %q", n.DataCentre)
	}
	if n.Region != "" && !slices.Contains(n.Regions, n.Region) {
		c.Add("regions", "does not list the region of this node %q", n.Region)
	}
	if n.Region == "" && len(n.Regions) > 0 {
		c.Add("region", "is missing, but regions are listed")
	}
	seen := map[string]bool{}
	for _, centre := range n.DataCentres {
		c.checkName("data_centres", centre)
		if seen[centre] {
			c.Add("data_centres", "lists %q twice", centre)
		}
		seen[centre] = true
	}
}

func (c *validator) checkLoopback(path, v string) {
	host, _, err := net.SplitHostPort(v)
	if ip := net.ParseIP(host); err == nil && ip != nil && !ip.IsLoopback() {
		c.Add(path, "%q is not a loopback address", v)
	}
}

// checkDiscovery checks the settings by which a node finds other nodes and the
// configuration: the store and the seeds.
func (c *validator) checkDiscovery(n Node) {
	if len(n.Store) == 0 && len(n.Seeds) == 0 {
		c.Add("store", "is missing, and no seeds are set either")
	}
	for _, url := range n.Store {
		if !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
			c.Add("store", "%q is not an http or https URL", url)
		}
	}
	for group, addrs := range n.Seeds {
		if !slices.Contains(n.Groups(), group) {
			c.Add("seeds."+group, "is not one of data_centres, or of regions if they are set")
		}
		for _, addr := range addrs {
			c.checkAddr("seeds."+group, addr)
		}
	}
}
