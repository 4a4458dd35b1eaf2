package config

import (
	"slices"

	"tanagerchute/core/jsonc"
	"tanagerchute/core/routes"
)

// Document is the whole configuration of a deployment.
type Document struct {
	Deployment string    `json:"deployment"`
	Services   []Service `json:"services"`
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
