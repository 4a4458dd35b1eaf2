package rank

import (
	"fmt"
	"slices"
)

// Overlay is a graph over the members that messages are flooded along. Every
// member has a few neighbours, whatever the number of members, and any two
// members are a few edges apart: it is the union of hash rings of independent
// order, on each of which a member is connected to its successor and its
// predecessor.
type Overlay struct{ rings []ring }

// NewOverlay returns the overlay of ids that consists of n rings. A member has up
// to 2*n neighbours.
func NewOverlay(ids []string, n int) *Overlay {
	o := &Overlay{}
	for i := range n {
		o.rings = append(o.rings, newRing(fmt.Sprint("overlay/", i), ids))
	}
	return o
}

// Add adds a member.
func (o *Overlay) Add(id string) {
	for i := range o.rings {
		o.rings[i].insert(id)
	}
}

// Remove removes a member.
func (o *Overlay) Remove(id string) {
	for i := range o.rings {
		o.rings[i].remove(id)
	}
}

// Neighbours returns the neighbours of a member, each once. They are nil for an id
// that is not a member.
func (o *Overlay) Neighbours(id string) []string {
	var out []string
	for _, r := range o.rings {
		at, ok := r.find(id)
		if !ok {
			return nil
		}
		for _, neighbour := range []string{r.at(at + 1), r.at(at - 1)} {
			if neighbour != id && !slices.Contains(out, neighbour) {
				out = append(out, neighbour)
			}
		}
	}
	return out
}
