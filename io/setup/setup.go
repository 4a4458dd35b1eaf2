// Package setup is the settings of a process, read from a file of JSON with
// comments and checked whole before anything is opened.
//
// # Usage
//
//	s, err := setup.ReadNode("node.jsonc") // err lists every finding
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

// Node is the settings of a node process.
type Node struct {
	Name        string   `json:"name"` // of the instance
	Deployment  string   `json:"deployment"`
	DataCentre  string   `json:"data_centre"`
	DataCentres []string `json:"data_centres"` // all of the deployment
	// Region, if it is set, is the set of data centres whose nodes know each
	// other one by one; of other regions they know only sums. Without regions
	// each data centre stands by itself.
	Region  string   `json:"region,omitempty"`
	Regions []string `json:"regions,omitempty"` // all of the deployment
	Service string   `json:"service"`           // that the own backend server belongs to
	Listen  Listen   `json:"listen"`
	// Store lists the URLs of the platform's key-value service.
	Store []string `json:"store,omitempty"`
	// Seeds lists addresses for peers by data centre, for a start while the
	// store is down.
	Seeds  map[string][]string `json:"seeds,omitempty"`
	Drain  Drain               `json:"drain,omitempty"`
	Limits Limits              `json:"limits,omitempty"`
	Trace  Trace               `json:"trace,omitempty"`
	Log    string              `json:"log,omitempty"` // debug, info, warn or error
	Hedge  *bool               `json:"hedge,omitempty"`
	// Backend is the address of the own backend server, if it is known before
	// the server announces itself.
	Backend string `json:"backend,omitempty"`
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool `json:"first_start,omitempty"`
	// LocalCallers says that all callers are on the node's own instance, so that
	// their requests begin at its service.
	LocalCallers bool `json:"local_callers,omitempty"`
	// TrustHeartbeats leaves out probes of an idle backend server, whose
	// heartbeats suffice.
	TrustHeartbeats bool `json:"trust_heartbeats,omitempty"`
}

// Listen is the addresses of a node, host:port with an IP number.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	// Advertise is the address by which other nodes reach peers, if it is not
	// the one listened at.
	Advertise string `json:"advertise,omitempty"`
	Egress    string `json:"egress,omitempty"` // for the own backend server, if it does not call by callers
	Admin     string `json:"admin"`            // for operators and the own backend server
}

// Drain is the settings of a planned stop.
type Drain struct {
	// Timeout is how long calls in flight may take.
	Timeout jsonc.Duration `json:"timeout,omitempty"`
	// Linger is how long a node stays to answer for the keys it was home of.
	Linger jsonc.Duration `json:"linger,omitempty"`
	// ServeOn says that the backend server goes on when its node stops, so that
	// the node serves it until Linger has passed.
	ServeOn bool `json:"serve_on,omitempty"`
}

// Limits is the bounds of a node.
type Limits struct {
	RequestBytes int64 `json:"request_bytes,omitempty"`
	AnswerBytes  int64 `json:"answer_bytes,omitempty"`
	Connections  int   `json:"connections,omitempty"` // to the backend server
	Events       int   `json:"events,omitempty"`      // kept in the journal
	// RetryShare is the number of resends that one call earns, and RetrySlack
	// the number that all nodes together may have saved up for a service.
	RetryShare float64 `json:"retry_share,omitempty"`
	RetrySlack float64 `json:"retry_slack,omitempty"`
}

// Trace is where spans go.
type Trace struct {
	OTLP   string         `json:"otlp,omitempty"`
	File   string         `json:"file,omitempty"`
	Slow   jsonc.Duration `json:"slow,omitempty"`
	Sample float64        `json:"sample,omitempty"`
}

// PeerAddr returns the address by which other nodes reach this one.
func (l Listen) PeerAddr() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peers
}

// Groups returns the names of the sets of nodes that keep one table each: the
// regions, or the data centres of a deployment without regions.
func (n Node) Groups() []string {
	if n.Region != "" {
		return n.Regions
	}
	return n.DataCentres
}

// Group returns the name of the node's own one of Groups.
func (n Node) Group() string {
	if n.Region != "" {
		return n.Region
	}
	return n.DataCentre
}

// Defaults of a node.
const (
	DefaultDrainTimeout = 30 * time.Second
	DefaultLinger       = 6 * time.Second // over the guard of a key's home
	DefaultSlowSpan     = 250 * time.Millisecond
	defaultLogLevel     = "info"
)

// Upstream is the settings of a stand-in backend server.
type Upstream struct {
	Service string `json:"service"`
	Listen  string `json:"listen"`
	Node    string `json:"node"`   // admin address of its node
	Egress  string `json:"egress"` // egress address of its node
	Slots   int    `json:"slots"`
	// Work is how long a call takes.
	Work jsonc.Duration `json:"work,omitempty"`
	Log  string         `json:"log,omitempty"`
}

var nameRE = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// ReadNode reads and checks the settings of a node.
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

// ReadUpstream reads and checks the settings of a stand-in backend server.
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

// WithDefaults returns n with the defaults in place of what is not set.
func (n Node) WithDefaults() Node {
	if n.Drain.Timeout == 0 {
		n.Drain.Timeout = jsonc.Duration(DefaultDrainTimeout)
	}
	if n.Drain.Linger == 0 {
		n.Drain.Linger = jsonc.Duration(DefaultLinger)
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

// checks says what is wrong beyond syntax and types.
type validator struct{ *jsonc.Findings }

func decodeFile(file string, dst any) (*validator, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
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

// CheckAddr returns an error if v is not an IP number with a port.
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
	if n.Drain.Timeout < 0 || n.Drain.Linger < 0 {
		c.Add("drain", "must not be negative")
	}
}

func (c *validator) checkDataCentres(n Node) {
	if !slices.Contains(n.DataCentres, n.DataCentre) {
		c.Add("data_centres", "does not list the own data centre %q", n.DataCentre)
	}
	if n.Region != "" && !slices.Contains(n.Regions, n.Region) {
		c.Add("regions", "does not list the own region %q", n.Region)
	}
	if n.Region == "" && len(n.Regions) > 0 {
		c.Add("region", "is missing, though regions are listed")
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

// sources checks where a node can find the others and the configuration.
func (c *validator) checkDiscovery(n Node) {
	if len(n.Store) == 0 && len(n.Seeds) == 0 {
		c.Add("store", "is missing, and there are no seeds either")
	}
	for _, url := range n.Store {
		if !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
			c.Add("store", "%q is not an http or https URL", url)
		}
	}
	for centre, addrs := range n.Seeds {
		if !slices.Contains(n.Groups(), centre) {
			c.Add("seeds."+centre, "is not one of data_centres, or of regions where they are set")
		}
		for _, addr := range addrs {
			c.checkAddr("seeds."+centre, addr)
		}
	}
}
