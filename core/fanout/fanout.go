// Package fanout builds the tree along which a new configuration version is
// distributed. It decides to which nodes each node forwards the version.
//
// A few members of each data centre, the readers, watch the store for new
// versions. They are ranked, starting with 0. A reader distributes a version
// inside its data centre along a tree in which each node has the same number of
// children, as far as there are members left. The tree consists of the members
// in ring order (see rank.Ring), starting with the reader. All nodes with the
// same membership view compute the same tree. A node that can't reach a child
// pushes to the child's children instead. A node that the tree missed learns of
// the version from the stamps (see vers.Stamp) that probes carry.
//
// The reader of rank 0 pushes the version itself. The other readers offer only
// its stamp, after a delay and along trees of their own. If the first reader
// fails while it distributes a version, distribution continues after that delay
// and no node receives the content twice.
//
// # Usage
//
//	tree := fanout.NewTree(order, self, fanout.Degree)
//	for _, child := range tree.Children() { … push … }
//	more := tree.ChildrenOf(child) // if child did not answer
package fanout

import "time"

// Degree is the maximum number of children of a node in the tree.
const Degree = 8

// StandbyOfferDelay is the delay between the offers of readers of consecutive
// ranks.
const StandbyOfferDelay = 150 * time.Millisecond

// Tree is the distribution tree of one version, as used by one node.
type Tree struct {
	order  []string // the root first
	self   int      // index of this node in order, -1 if absent
	degree int
}

// NewTree returns the tree over order with the root order[0], for the node self.
// A node that is not in order has no children.
func NewTree(order []string, self string, degree int) Tree {
	t := Tree{order: order, self: -1, degree: degree}
	for i, id := range order {
		if id == self {
			t.self = i
		}
	}
	return t
}

// Children returns the members that this node pushes to.
func (t Tree) Children() []string { return t.childrenOf(t.self) }

// ChildrenOf returns the children of child. A node pushes to them if it can't
// reach child.
func (t Tree) ChildrenOf(child string) []string {
	for i, id := range t.order {
		if id == child {
			return t.childrenOf(i)
		}
	}
	return nil
}

func (t Tree) childrenOf(i int) []string {
	if i < 0 {
		return nil
	}
	first := i*t.degree + 1
	if first >= len(t.order) {
		return nil
	}
	return t.order[first:min(first+t.degree, len(t.order))]
}

// OfferAt returns when a reader of the given rank, counted from 0, sends or
// offers a version that it read at now.
func OfferAt(now time.Time, rank int) time.Time {
	return now.Add(time.Duration(rank) * StandbyOfferDelay)
}
