package member

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerchute/core/owner"
)

// State is the state of a member as recorded in a table.
type State int

// States of a member. At equal incarnations, a record with a later state
// overrides one with an earlier state.
const (
	Alive State = iota
	Suspect
	Leaving // it announced a planned stop and accepts no new calls
	Dead    // it failed or completed a planned stop
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// Record is what one node claims about a member. It is immutable.
type Record struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"` // host:port for connections from other nodes
	DataCentre  string `json:"data_centre"`
	Region      string `json:"region,omitempty"` // empty if the deployment has no regions
	Service     string `json:"service"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	Ready       bool   `json:"ready"` // its backend server is announced and not failing
	Slots       int    `json:"slots"`
	CanBeHome   bool   `json:"keeper"` // eligible as the home of an idempotency key
	// HomeUntil is the issue time of the latest key that the member accepted as a home.
	// It is zero while the member can be a home, and if it never could.
	HomeUntil time.Time `json:"home_until,omitzero"`
	StartMs   int64     `json:"since"` // start of the process, Unix milliseconds
	// WarmupEnd is when the warm-up period of its backend server ends. The
	// server is slow until then. It is zero if there is no warm-up.
	WarmupEnd time.Time `json:"warm_until,omitzero"`
	// ServerVersion is the version of its backend server's software, empty if unknown.
	ServerVersion string `json:"server_version,omitempty"`
	// LeftServer is its backend server if that has announced its stop, else zero. A
	// node that restarts learns it from the record of the process before.
	LeftServer ServerID `json:"left_server,omitzero"`
	// Owner is the server that was last heard at the address of its backend server, zero if
	// the member knows of none. A node that restarts learns it from the record of the process
	// before.
	Owner owner.Claim `json:"owner,omitzero"`
	// Counted reports that the member knows how many members there may be, see
	// Table.SetCounted.
	Counted bool `json:"counted,omitempty"`
	// LinkRate is what the link of the instance carries in each direction, in bytes a
	// second, 0 if it is not known to be bounded.
	LinkRate float64 `json:"link_rate,omitempty"`
	Accuser  string  `json:"accuser,omitempty"` // id of the member that claimed State
	// Left marks a dead member that stopped as planned. It does not count
	// toward the quorum, see Table.QuorumUntil.
	Left bool `json:"left,omitempty"`
}

// ServerID identifies a process of a backend server.
type ServerID struct {
	ID      string `json:"id"`              // may be reused by a later process
	StartMs int64  `json:"since,omitempty"` // start of the process, Unix milliseconds, 0 if unknown
}

// WithState returns a copy of r in state s, claimed by the member accuser.
func (r Record) WithState(s State, accuser string) Record {
	r.State = s
	r.Accuser = accuser
	return r
}

// WithIncarnation returns a copy of r with incarnation n.
func (r Record) WithIncarnation(n uint64) Record {
	r.Incarnation = n
	return r
}

// Upstream is the state of a node's backend server as announced to other nodes.
type Upstream struct {
	Ready bool // announced, not failing and not leaving
	Slots int
	// WarmupEnd is when its warm-up period ends, zero if there is none.
	WarmupEnd time.Time
	Left      ServerID // the server if it has announced its stop, else zero
	Version   string   // of its software, empty if unknown
	Owner     owner.Claim
}

// warmupTolerance is how much later WarmupEnd has to become for the change to
// be announced. A smaller change is not worth a message.
const warmupTolerance = time.Second

// Differs reports whether u differs enough from o, the state announced last, to
// be announced.
func (u Upstream) Differs(o Upstream) bool {
	return u.Ready != o.Ready || u.Slots != o.Slots || u.Left != o.Left || u.Version != o.Version || u.Owner != o.Owner || u.WarmupEnd.Sub(o.WarmupEnd) > warmupTolerance
}

// WithUpstream returns a copy of r with u as the state of the backend server.
func (r Record) WithUpstream(u Upstream) Record {
	r.Ready = u.Ready
	r.Slots = u.Slots
	r.WarmupEnd = u.WarmupEnd
	r.LeftServer = u.Left
	r.ServerVersion = u.Version
	r.Owner = u.Owner
	return r
}

// Upstream returns the state of the member's backend server.
func (r Record) Upstream() Upstream {
	return Upstream{r.Ready, r.Slots, r.WarmupEnd, r.LeftServer, r.ServerVersion, r.Owner}
}

// Group returns the name of the membership group that the member belongs to.
// The members of a group share one table. It is the region, or the data centre
// if the deployment has no regions.
func (r Record) Group() string {
	if r.Region != "" {
		return r.Region
	}
	return r.DataCentre
}

// WithCandidacy returns a copy of r that is eligible as the home of idempotency keys.
func (r Record) WithCandidacy() Record {
	r.CanBeHome, r.HomeUntil = true, time.Time{}
	return r
}

// WithoutCandidacy returns a copy of r that isn't eligible as the home of keys. The
// latest key that it has accepted as a home was issued at until.
func (r Record) WithoutCandidacy(until time.Time) Record {
	r.CanBeHome, r.HomeUntil = false, until
	return r
}

// IsHomeCandidate reports whether the member can now be the home of a key.
func (r Record) IsHomeCandidate() bool {
	return r.CanBeHome && (r.State == Alive || r.State == Suspect)
}

// wasHome reports whether the member may have been the home of keys.
func (r Record) wasHome() bool { return r.CanBeHome || !r.HomeUntil.IsZero() }

// AcceptsCalls reports whether new calls may be sent to the member.
func (r Record) AcceptsCalls() bool {
	return r.Ready && (r.State == Alive || r.State == Suspect)
}

// IsUp reports whether the member is believed to be running, which includes
// suspect and leaving members.
func (r Record) IsUp() bool { return r.State != Dead }

// overrides reports whether r replaces o: it has a higher incarnation, or the
// same one and a later state.
func (r Record) overrides(o Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.State, o.State)) > 0
}

// hash returns a hash of the id, incarnation and state, the fields by which
// tables are compared.
func (r Record) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(r.ID)
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], r.Incarnation)
	b[8] = byte(r.State)
	d.Write(b[:])
	return d.Sum64()
}

// Validate checks a record received from a peer against the bounds of a table.
func (r Record) Validate() error {
	switch {
	case r.ID == "" || len(r.ID) > maxFieldBytes:
		return fmt.Errorf("member id has an invalid length of %d bytes", len(r.ID))
	case len(r.Addr) > maxFieldBytes || len(r.Service) > maxFieldBytes || len(r.DataCentre) > maxFieldBytes || len(r.Region) > maxFieldBytes || len(r.LeftServer.ID) > maxFieldBytes || len(r.ServerVersion) > maxFieldBytes || len(r.Owner.ID) > maxFieldBytes:
		return fmt.Errorf("record of member %q has an oversized field", r.ID)
	case r.State < Alive || r.State > Dead:
		return fmt.Errorf("member %q has unknown state %d", r.ID, r.State)
	case r.Slots < 0 || r.Slots > maxSlots:
		return fmt.Errorf("member %q has an invalid number of slots: %d", r.ID, r.Slots)
	case !(r.LinkRate >= 0) || math.IsInf(r.LinkRate, 0):
		return fmt.Errorf("member %q has an invalid link rate: %v", r.ID, r.LinkRate)
	}
	return nil
}
