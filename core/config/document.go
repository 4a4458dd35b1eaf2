package config

import (
	"slices"

	"tanagerchute/core/acct"
	"tanagerchute/core/jsonc"
	"tanagerchute/core/routes"
)

// Document is the whole configuration of a deployment.
type Document struct {
	Deployment string    `json:"deployment"`
	Services   []Service `json:"services"`
	// Accounts lists the client accounts. Without the field, requests need no key.
	Accounts  []Account       `json:"accounts,omitempty"`
	directory *acct.Directory // compiled from Accounts, nil if there are none
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Keys lists the keys of its callers, each as it is or as "sha256:" with the digest
	// of the key in hex.
	Keys []string `json:"keys,omitempty" secret:"true"`
	// Priority of its calls, 0 for the highest, in place of that of their class.
	Priority *int    `json:"priority,omitempty"`
	Rate     float64 `json:"rate,omitempty"`  // calls a second at all nodes together, 0 for no limit
	Burst    float64 `json:"burst,omitempty"` // calls beyond Rate that can be saved up
}

// Service is a named group of upstreams and the classes of work that they serve.
type Service struct {
	Name string `json:"name"`
	// Calls lists the services that this service's backend servers may call.
	Calls   []string `json:"calls,omitempty"`
	Classes []Class  `json:"classes"`
}

// Class is a set of calls with the same targets.
type Class struct {
	Name  string  `json:"name"`
	Match []Match `json:"match"`
	// AnswerWithin is the time in which a call has to be answered, counted
	// from its arrival at the first ingress.
	AnswerWithin jsonc.Duration `json:"answer_within"`
	// MayWait is the part of AnswerWithin that a call may spend in a queue.
	MayWait jsonc.Duration `json:"may_wait"`
	// AtMostOnce marks calls that must never run twice.
	AtMostOnce bool `json:"at_most_once,omitempty"`
	// Anonymous marks calls that need no key, in a document with accounts.
	Anonymous bool `json:"anonymous,omitempty"`
}

// Match selects calls by method and path prefix. An empty method matches any.
type Match struct {
	Method string `json:"method,omitempty"`
	Path   string `json:"path"`
}

// Priorities, most important first.
const (
	PriorityAtMostOnce       routes.Priority = iota // calls that must be neither lost nor run twice
	PriorityLatencySensitive                        // calls whose targets leave little time in a queue
	PriorityDelayTolerant                           // calls whose targets allow a long time in a queue
)

// delayTolerantShare is the share of AnswerWithin from which MayWait makes a
// class delay-tolerant.
const delayTolerantShare = 0.25

// Priority derives the priority of a class from its targets.
func (c Class) Priority() routes.Priority {
	switch {
	case c.AtMostOnce:
		return PriorityAtMostOnce
	case float64(c.MayWait) >= delayTolerantShare*float64(c.AnswerWithin):
		return PriorityDelayTolerant
	}
	return PriorityLatencySensitive
}

// Service returns the service called name.
func (d *Document) Service(name string) (Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}
