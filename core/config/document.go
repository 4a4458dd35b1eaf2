package config

import (
	"slices"
	"strings"
	"time"

	"tanagerchute/core/jsonc"
)

// Document is the whole configuration of a deployment.
type Document struct {
	Deployment string    `json:"deployment"`
	Services   []Service `json:"services"`
}

// Service is a named group of upstreams with the classes of work they do.
type Service struct {
	Name string `json:"name"`
	// Calls lists the services that this service's backend servers may call.
	Calls   []string `json:"calls,omitempty"`
	Classes []Class  `json:"classes"`
}

// Class is one kind of work and its target.
type Class struct {
	Name  string  `json:"name"`
	Match []Match `json:"match"`
	// AnswerWithin is the time in which a call has to be answered, counted
	// from its first ingress.
	AnswerWithin jsonc.Duration `json:"answer_within"`
	// MayWait is the part of AnswerWithin that a call may spend in a queue.
	MayWait jsonc.Duration `json:"may_wait"`
	// AtMostOnce marks work that must never run twice.
	AtMostOnce bool `json:"at_most_once,omitempty"`
}

// Match selects calls by method and path prefix. An empty method is any.
type Match struct {
	Method string `json:"method,omitempty"`
	Path   string `json:"path"`
}

// Priority is the order in which classes keep their place under overload.
// Lower values go first.
type Priority int

// Priorities, most important first.
const (
	PriorityOnce Priority = iota // work that must not be lost or doubled
	PriorityTight
	PriorityPatient // work whose target allows it to wait
	PriorityCount   // number of priorities
)

// patientShare is the share of AnswerWithin from which MayWait makes a class
// a patient one.
const patientShare = 0.25

// Priority derives the priority of a class from its target.
func (c Class) Priority() Priority {
	switch {
	case c.AtMostOnce:
		return PriorityOnce
	case float64(c.MayWait) >= patientShare*float64(c.AnswerWithin):
		return PriorityPatient
	}
	return PriorityTight
}

// Deadline returns the time by which a call that arrived at now has to be
// answered.
func (c Class) Deadline(now time.Time) time.Time { return now.Add(c.AnswerWithin.Std()) }

// Service returns the service called name.
func (d *Document) Service(name string) (Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// Classify returns the class of a call: the match with the longest path
// prefix wins, a match that names the method goes before one that does not.
func (d *Document) Classify(service, method, path string) (Class, bool) {
	s, ok := d.Service(service)
	if !ok {
		return Class{}, false
	}
	best, found, score := Class{}, false, -1
	for _, c := range s.Classes {
		for _, m := range c.Match {
			if !m.covers(method, path) {
				continue
			}
			if n := m.specificity(); n > score {
				best, found, score = c, true, n
			}
		}
	}
	return best, found
}

// MayCall reports whether the backend servers of from may call the service to.
func (d *Document) MayCall(from, to string) bool {
	s, ok := d.Service(from)
	return ok && slices.Contains(s.Calls, to)
}

func (m Match) covers(method, path string) bool {
	if m.Method != "" && m.Method != method {
		return false
	}
	if !strings.HasPrefix(path, m.Path) {
		return false
	}
	// A prefix ends at a segment: /booking does not cover /bookings.
	return strings.HasSuffix(m.Path, "/") || len(path) == len(m.Path) || path[len(m.Path)] == '/'
}

func (m Match) specificity() int {
	n := 2 * len(m.Path)
	if m.Method != "" {
		n++
	}
	return n
}
