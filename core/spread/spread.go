// Package spread decides to whom a node passes a new version on.
//
// Inside a data centre a version goes down a tree. All nodes with the same
// view compute the same tree: the members in ring order, starting with the
// reader that took the version from the store, with a fixed fan-out. A node
// that can't reach a child takes over the child's children. What the tree
// misses is repaired by the stamps that ride on probes.
//
// The reader of rank 0 sends the version itself; the other readers offer only
// its stamp, a little later, down trees of their own, so that the death of the
// first reader in the middle of a change costs that little and no second copy.
//
// # Usage
//
//	p := spread.Plan(order, self, fanout)
//	for _, child := range p.Children() { … push … }
//	more := p.Adopt(child) // if the child did not answer
package spread

import "time"

// Fanout is the number of children of a node in the tree.
const Fanout = 8

// StandbyDelay is how much later the reader of each further rank offers a
// version than the one before.
const StandbyOfferDelay = 150 * time.Millisecond

// Tree is the tree of one push, as seen by one node.
type Tree struct {
	order  []string // the root first
	self   int
	fanout int
}

// Plan returns the tree over order, whose root is order[0], for the node self.
// A node that is not in order has no children.
func NewTree(order []string, self string, fanout int) Tree {
	t := Tree{order: order, self: -1, fanout: fanout}
	for i, id := range order {
		if id == self {
			t.self = i
		}
	}
	return t
}

// Children returns the members that this node pushes to.
func (t Tree) Children() []string { return t.childrenOf(t.self) }

// Adopt returns the children of a child that could not be reached.
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
	first := i*t.fanout + 1
	if first >= len(t.order) {
		return nil
	}
	return t.order[first:min(first+t.fanout, len(t.order))]
}

// OfferAt returns when a reader of the given rank, counted from 0, sends a
// version that it took at now.
func OfferAt(now time.Time, rank int) time.Time {
	return now.Add(time.Duration(rank) * StandbyOfferDelay)
}
