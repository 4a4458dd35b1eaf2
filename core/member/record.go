package member

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a member.
type State int

// States, in the order in which they override each other at the same
// incarnation.
const (
	Alive State = iota
	Suspect
	Leaving // it has announced its stop and takes no new work
	Dead    // it failed, or has stopped after leaving
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// Record is one claim about a member. It is immutable.
type Record struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"` // address for peers, host:port
	DataCentre  string `json:"data_centre"`
	Region      string `json:"region,omitempty"` // empty if each data centre stands by itself
	Service     string `json:"service"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	Ready       bool   `json:"ready"` // its backend server is announced and not failing
	Slots       int    `json:"slots"`
	CanBeHome   bool   `json:"keeper"` // it can be the home of a key
	StartMs     int64  `json:"since"`  // start of the process, Unix milliseconds
	// WarmUntil is when its backend server stops being slow after its start.
	WarmupEnd time.Time `json:"warm_until,omitzero"`
	Accuser   string    `json:"accuser,omitempty"`
	// Left marks a dead member that stopped by its own will. It does not count
	// for the roster, see Table.Standing.
	Left bool `json:"left,omitempty"`
}

// WithState returns r in state s, claimed by accuser.
func (r Record) WithState(s State, accuser string) Record {
	r.State = s
	r.Accuser = accuser
	return r
}

// WithIncarnation returns r with incarnation n.
func (r Record) WithIncarnation(n uint64) Record {
	r.Incarnation = n
	return r
}

// Upstream is what other nodes are told of a node's backend server.
type Upstream struct {
	Ready bool // announced, not failing and not leaving
	Slots int
	// WarmUntil is when it stops being slow after its start, zero if it is not.
	WarmupEnd time.Time
}

// warmSlack is the difference of two times of warmth that is not worth a
// message.
const warmupTolerance = time.Second

// Differs reports whether u is worth telling to those who know o.
func (u Upstream) Differs(o Upstream) bool {
	return u.Ready != o.Ready || u.Slots != o.Slots || u.WarmupEnd.Sub(o.WarmupEnd) > warmupTolerance
}

// WithUpstream returns r with the state of its backend server.
func (r Record) WithUpstream(u Upstream) Record {
	r.Ready = u.Ready
	r.Slots = u.Slots
	r.WarmupEnd = u.WarmupEnd
	return r
}

// Upstream returns the state of the member's backend server.
func (r Record) Upstream() Upstream { return Upstream{r.Ready, r.Slots, r.WarmupEnd} }

// Group returns the name of the set of members that keep one table: the region,
// or the data centre of a deployment without regions.
func (r Record) Group() string {
	if r.Region != "" {
		return r.Region
	}
	return r.DataCentre
}

// WithKeeper returns r as a member that can be, or can't be, the home of a key.
func (r Record) WithCanBeHome(can bool) Record {
	r.CanBeHome = can
	return r
}

// TakesKeys reports whether the member can be the home of a key now.
func (r Record) IsHomeCandidate() bool {
	return r.CanBeHome && (r.State == Alive || r.State == Suspect)
}

// TakesWork reports whether new work may be sent to the member.
func (r Record) AcceptsCalls() bool {
	return r.Ready && (r.State == Alive || r.State == Suspect)
}

// Up reports whether the member is believed to be running.
func (r Record) IsUp() bool { return r.State != Dead }

// overrides reports whether r is to replace o.
func (r Record) overrides(o Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.State, o.State)) > 0
}

// hash digests the parts of a record in which tables have to agree.
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

// Validate returns an error if a record that came from a peer can't be right.
func (r Record) Validate() error {
	switch {
	case r.ID == "" || len(r.ID) > maxFieldBytes:
		return fmt.Errorf("member id has %d bytes", len(r.ID))
	case len(r.Addr) > maxFieldBytes || len(r.Service) > maxFieldBytes || len(r.DataCentre) > maxFieldBytes || len(r.Region) > maxFieldBytes:
		return fmt.Errorf("record of member %q has an oversized field", r.ID)
	case r.State < Alive || r.State > Dead:
		return fmt.Errorf("member %q has unknown state %d", r.ID, r.State)
	case r.Slots < 0 || r.Slots > maxSlots:
		return fmt.Errorf("member %q claims %d slots", r.ID, r.Slots)
	}
	return nil
}
