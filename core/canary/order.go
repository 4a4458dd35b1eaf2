package canary

import (
	"cmp"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Request is an order as an operator writes it.
type Request struct {
	Service string
	Target  string        // version of the backend servers that the calls are moved to
	Within  time.Duration // from the order to its deadline
}

// MaxWithin bounds the time of an order.
const MaxWithin = 24 * time.Hour

// maxNameBytes bounds the names of services and versions.
const maxNameBytes = 128

// Validate returns an error that lists everything that is wrong with r.
func (r Request) Validate() error {
	var findings []string
	if r.Service == "" || len(r.Service) > maxNameBytes {
		findings = append(findings, "service is missing or too long")
	}
	if r.Target == "" || len(r.Target) > maxNameBytes {
		findings = append(findings, "target version is missing or too long")
	}
	if r.Within < 0 || r.Within > MaxWithin {
		findings = append(findings, "the time to complete is not between 0 and "+MaxWithin.String())
	}
	if len(findings) > 0 {
		return errors.New(strings.Join(findings, "; "))
	}
	return nil
}

// OrderID identifies an order. Later orders have higher ids.
type OrderID struct {
	Era      uint64 `json:"era,omitempty"` // of the store in which it was first seen, 0 if unknown
	Revision int64  `json:"revision"`      // of the store at which it was written
}

// Compare returns a negative number if id is earlier than o, 0 if they are equal, and a
// positive number otherwise.
func (id OrderID) Compare(o OrderID) int {
	return cmp.Or(cmp.Compare(id.Era, o.Era), cmp.Compare(id.Revision, o.Revision))
}

// Order is a request with its identity and the time by which it must be done.
type Order struct {
	Request
	ID       OrderID
	SeenAt   time.Time
	Deadline time.Time
}

// NewOrder returns the order of a request that was seen at now.
func NewOrder(r Request, id OrderID, now time.Time) Order {
	return Order{Request: r, ID: id, SeenAt: now, Deadline: now.Add(r.Within)}
}

// WithDeadline returns o with another deadline.
func (o Order) WithDeadline(t time.Time) Order {
	o.Deadline = t
	return o
}

// Repeats reports whether o is p again, as read from a store that was restored from a
// copy. The copy has the revisions of the original, but its era is another one.
func (o Order) Repeats(p Order) bool {
	return o.ID.Revision == p.ID.Revision && o.Request == p.Request
}
