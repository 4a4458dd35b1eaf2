package table

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Priority is the order in which requests keep their place under overload.
// Lower values go first.
type Priority int

// Priorities is the number of priorities. Values beyond it are taken as the
// lowest one.
const NumPriorities = 8

// Clamp returns p within the range of priorities.
func (p Priority) Clamp() Priority { return min(max(p, 0), NumPriorities-1) }

// Part is one share of a route's requests.
type Destination struct {
	Service string
	Weight  int // relative to the other parts
}

// Route is what is promised for the requests that it covers. It is immutable.
type Route struct {
	Name         string
	Destinations []Destination // one, or several for a weighted split
	Priority     Priority
	// AtMostOnce marks work that must never run twice.
	AtMostOnce bool
	// Repeatable marks work that may run again whatever its method.
	Idempotent bool
	// Large marks requests whose answers are so large that they should stay in
	// their data centre.
	LargeResponse bool
	// Target is the time in which a request should be answered, and Timeout the
	// time after which it has to be given up. Both are counted from its first
	// ingress. A Timeout of 0 leaves that to the caller's deadline.
	TargetLatency time.Duration
	Timeout       time.Duration
	// MayWait is the part of the time that a request may spend in a queue.
	MaxQueueTime time.Duration
	// Attempts is the number of upstreams that a request may be sent to, 0 for
	// the default.
	MaxAttempts int
}

// Pick returns the service for the request that the number n stands for. Over
// evenly spread numbers each part gets its weight's share.
func (r *Route) Pick(n uint64) string {
	total := 0
	for _, p := range r.Destinations {
		total += p.Weight
	}
	if total <= 0 {
		return r.Destinations[0].Service
	}
	at := int(n % uint64(total))
	for _, p := range r.Destinations {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

// Rule says which requests a route covers.
type Rule struct {
	Host   string
	Method string // empty for any
	// Prefix of the path. It ends at a segment: /booking does not cover
	// /bookings, and a prefix that ends with a slash covers what is below it.
	Prefix string
	Route  *Route
}

// Service is what a document says of a service besides its routes.
type Service struct {
	Name       string
	HealthPath string   // of its backend servers, empty if there is none
	MaxConns   int      // connections that a backend server takes, 0 for the default
	Calls      []string // services that its backend servers may call
}

// Limits bound what a caller may send. Zero values leave the defaults.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its headers
	IdleTimeout    time.Duration // between two requests of a connection
}

// Table is a compiled configuration. It is immutable.
type Table struct {
	hosts         map[string]map[string][]Rule // by host and prefix
	services      map[string]Service
	limits        Limits
	allowAllCalls bool
	numRules      int
}

// Match returns the route of a request: the longest prefix wins, and a rule
// that names the method goes before one that does not.
func (t *Table) Match(host, method, path string) (*Route, bool) {
	byPrefix, ok := t.hosts[host]
	if !ok {
		return nil, false
	}
	if r, ok := routeForMethod(byPrefix[path], method); ok {
		return r, true
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r, ok := routeForMethod(byPrefix[path[:i+1]], method); ok {
			return r, true
		}
		if r, ok := routeForMethod(byPrefix[path[:i]], method); ok {
			return r, true
		}
	}
	return nil, false
}

func routeForMethod(rules []Rule, method string) (*Route, bool) {
	for _, r := range rules {
		if r.Method == "" || r.Method == method {
			return r.Route, true
		}
	}
	return nil, false
}

// HasHost reports whether any rule names host.
func (t *Table) HasHost(host string) bool { return len(t.hosts[host]) > 0 }

// Service returns what the document says of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// MayCall reports whether the backend servers of from may call the service to.
func (t *Table) MayCall(from, to string) bool {
	return t.allowAllCalls || slices.Contains(t.services[from].Calls, to)
}

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of rules.
func (t *Table) Len() int { return t.numRules }

// Builder collects the parts of a Table.
type Builder struct {
	t *Table
}

// NewBuilder returns an empty builder.
func NewBuilder() *Builder {
	return &Builder{&Table{hosts: map[string]map[string][]Rule{}, services: map[string]Service{}}}
}

// Open lets every service call every other one.
func (b *Builder) AllowAllCalls() { b.t.allowAllCalls = true }

// Limit sets the bounds on what callers send.
func (b *Builder) SetLimits(l Limits) { b.t.limits = l }

// AddService adds a service.
func (b *Builder) AddService(s Service) { b.t.services[s.Name] = s }

// Add adds a rule. It returns an error if the rule can't be followed or is the
// same as an earlier one.
func (b *Builder) AddRule(r Rule) error {
	if len(r.Route.Destinations) == 0 {
		return errors.Errorf("route %q names no service", r.Route.Name)
	}
	for _, p := range r.Route.Destinations {
		if p.Weight < 0 {
			return errors.Errorf("route %q has the negative weight %d for service %q", r.Route.Name, p.Weight, p.Service)
		}
		if _, ok := b.t.services[p.Service]; !ok {
			return errors.Errorf("route %q goes to service %q, which does not exist", r.Route.Name, p.Service)
		}
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return errors.Errorf("route %q has prefix %q, which does not start with /", r.Route.Name, r.Prefix)
	}
	byPrefix, ok := b.t.hosts[r.Host]
	if !ok {
		byPrefix = map[string][]Rule{}
		b.t.hosts[r.Host] = byPrefix
	}
	rules := byPrefix[r.Prefix]
	if slices.ContainsFunc(rules, func(o Rule) bool { return o.Method == r.Method }) {
		return errors.Errorf("host %q has two routes for %s %s", r.Host, r.Method, r.Prefix)
	}
	if r.Method == "" {
		rules = append(rules, r)
	} else {
		rules = append([]Rule{r}, rules...)
	}
	byPrefix[r.Prefix] = rules
	b.t.numRules++
	return nil
}

// Build returns the table. The builder must not be used afterwards.
func (b *Builder) Build() *Table { return b.t }
