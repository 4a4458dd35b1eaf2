package census

import (
	"cmp"
	"slices"

	"tanagerchute/core/member"
	"tanagerchute/core/owner"
)

// Node is a node as a Snapshot has it.
type Node struct {
	Addr    string      `json:"addr"`    // host:port for connections from other nodes
	Service string      `json:"service"` // of its backend server
	Owner   owner.Claim `json:"owner,omitzero"`
}

// maxNodes bounds a snapshot, as the member table is bounded.
const maxNodes = 4096

// Snapshot is the nodes of one data centre, sorted by address. It is immutable.
type Snapshot []Node

// Equal reports whether s and o are the same.
func (s Snapshot) Equal(o Snapshot) bool { return slices.Equal(s, o) }

// Owner returns the server that was last heard at the address of the backend server of a node, zero
// if it is not known, or if the node was of another service then.
func (s Snapshot) Owner(addr, service string) owner.Claim {
	i, ok := s.find(addr)
	if !ok || s[i].Service != service {
		return owner.Claim{}
	}
	return s[i].Owner
}

// find returns the index of the node at an address, or the one at which it would be inserted.
func (s Snapshot) find(addr string) (int, bool) {
	return slices.BinarySearchFunc(s, addr, func(n Node, addr string) int { return cmp.Compare(n.Addr, addr) })
}

// WithMembers returns a copy of s with what the member records of the data centre say. Those of
// one address are taken in the order of their start.
func (s Snapshot) WithMembers(records []member.Record) Snapshot {
	out := slices.Clone(s)
	records = slices.SortedStableFunc(slices.Values(records), func(a, b member.Record) int { return cmp.Compare(a.StartMs, b.StartMs) })
	for _, r := range records {
		out = out.withMember(r)
	}
	return out
}

// withMember is WithMembers for one record. It may change s.
func (s Snapshot) withMember(r member.Record) Snapshot {
	i, known := s.find(r.Addr)
	switch {
	case r.Addr == "":
		return s
	case r.Left && r.LeftServer.ID != "":
		if known {
			s = slices.Delete(s, i, i+1)
		}
		return s
	case !known && len(s) >= maxNodes:
		return s
	case !known:
		return slices.Insert(s, i, Node{Addr: r.Addr, Service: r.Service, Owner: r.Owner})
	case r.Service != "" && r.Service != s[i].Service:
		s[i] = Node{Addr: r.Addr, Service: r.Service, Owner: r.Owner}
	case r.Owner.HeardMs > s[i].Owner.HeardMs:
		s[i].Owner = r.Owner
	}
	return s
}
