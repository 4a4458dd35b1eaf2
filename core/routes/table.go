package routes

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/acct"
)

// Priority ranks requests for admission under overload. A lower value is more
// important.
type Priority int

// NumPriorities is the number of priorities. Clamp maps larger values to the
// least important priority.
const NumPriorities = 8

// Clamp returns p limited to the range from 0 to NumPriorities-1.
func (p Priority) Clamp() Priority { return min(max(p, 0), NumPriorities-1) }

// Destination is a service that receives a share of a route's requests.
type Destination struct {
	Service string
	Weight  int // relative to the other destinations
}

// Route holds the destinations of the requests that match it, and their limits
// and guarantees. It is immutable.
type Route struct {
	Name         string
	Destinations []Destination // more than one for a weighted split
	Priority     Priority
	// AtMostOnce marks requests that must never run twice.
	AtMostOnce bool
	// Idempotent marks requests that may run more than once, whatever their
	// method.
	Idempotent bool
	// LargeResponse marks requests whose responses are so large that they
	// should not cross between data centres.
	LargeResponse bool
	// TargetLatency is the time in which a request should be answered. Timeout
	// is the time after which it fails. Both are counted from the arrival at the
	// first ingress. With a Timeout of 0 only the caller's deadline applies.
	TargetLatency time.Duration
	Timeout       time.Duration
	// MaxQueueTime is the time after the arrival until which a request may stay
	// in a queue.
	MaxQueueTime time.Duration
	// MaxUpstreams is the number of upstreams that may receive a request, 0 for
	// the default.
	MaxUpstreams int
	// Anonymous marks requests that need no key, in a configuration with accounts.
	Anonymous bool
}

// Pick returns the service of the destination that a random number selects.
// With uniformly distributed numbers each destination receives requests in
// proportion to its weight. If no destination has a weight, it is the first one.
func (r *Route) Pick(random uint64) string {
	total := 0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	if total <= 0 {
		return r.Destinations[0].Service
	}
	point := int(random % uint64(total))
	for _, d := range r.Destinations {
		if point < d.Weight {
			return d.Service
		}
		point -= d.Weight
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

// Rule selects the requests of a route by host, method and path prefix.
type Rule struct {
	Host   string
	Method string // empty for any method
	// Prefix matches whole segments of the path: /booking matches /booking and
	// /booking/1 but not /bookings. A prefix that ends with a slash matches the
	// paths that start with it, slash included.
	Prefix string
	Route  *Route
}

// Service holds the settings of a service other than its routes.
type Service struct {
	Name       string
	HealthPath string   // path of the backend servers' health check, empty if there is none
	MaxConns   int      // connections to one backend server, 0 for the default
	Calls      []string // services that its backend servers may call
}

// Limits bounds the size and the timing of callers' requests. The default
// applies to a field that is zero.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its headers
	IdleTimeout    time.Duration // between two requests on a connection
}

// Table is a compiled configuration. It is immutable.
type Table struct {
	hosts         map[string]map[string][]Rule // by host and prefix
	services      map[string]Service
	limits        Limits
	accounts      *acct.Directory // nil if there are none
	allowAllCalls bool
	numRules      int
}

// Match returns the route of a request: that of the longest prefix with a rule
// for the request's method. Among the rules of one prefix, one that names the
// method takes precedence over one for any method.
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

// routeForMethod returns the route of the first rule for method. Rules that name
// a method come before the one for any method, see Builder.AddRule.
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

// Service returns the settings of the service called name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// MayCall reports whether the backend servers of from may call the service to.
func (t *Table) MayCall(from, to string) bool {
	return t.allowAllCalls || slices.Contains(t.services[from].Calls, to)
}

// Limits returns the limits for callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Accounts returns the client accounts, or nil if the configuration has none.
func (t *Table) Accounts() *acct.Directory { return t.accounts }

// Len returns the number of rules.
func (t *Table) Len() int { return t.numRules }

// Builder builds a Table.
type Builder struct {
	t *Table
}

// NewBuilder returns an empty builder.
func NewBuilder() *Builder {
	return &Builder{&Table{hosts: map[string]map[string][]Rule{}, services: map[string]Service{}}}
}

// AllowAllCalls lets every service call every other one.
func (b *Builder) AllowAllCalls() { b.t.allowAllCalls = true }

// SetLimits sets the limits for callers' requests.
func (b *Builder) SetLimits(l Limits) { b.t.limits = l }

// SetAccounts sets the client accounts.
func (b *Builder) SetAccounts(d *acct.Directory) { b.t.accounts = d }

// AddService adds a service.
func (b *Builder) AddService(s Service) { b.t.services[s.Name] = s }

// AddRule adds a rule. The services of its route have to be added before. It
// returns an error if the rule is not valid, or if an earlier rule has the same
// host, method and prefix.
func (b *Builder) AddRule(r Rule) error {
	if len(r.Route.Destinations) == 0 {
		return errors.Errorf("route %q names no service", r.Route.Name)
	}
	for _, p := range r.Route.Destinations {
		if p.Weight < 0 {
			return errors.Errorf("route %q has the negative weight %d for service %q", r.Route.Name, p.Weight, p.Service)
		}
		if _, ok := b.t.services[p.Service]; !ok {
			return errors.Errorf("route %q refers to service %q, which does not exist", r.Route.Name, p.Service)
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

// Build returns the table. The builder must not be used after that.
func (b *Builder) Build() *Table { return b.t }
