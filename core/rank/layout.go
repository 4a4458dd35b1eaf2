package rank

import (
	"cmp"
	"slices"
)

// ring is a hash ring: a list of ids sorted by hash.
type ring struct {
	ids   []string
	index map[string]int // position in ids
}

func newRing(ids []string) ring {
	type hashed struct {
		id   string
		hash uint64
	}
	all := make([]hashed, len(ids))
	for i, id := range ids {
		all[i] = hashed{id, Score("ring", id)}
	}
	slices.SortFunc(all, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	r := ring{ids: make([]string, len(all)), index: make(map[string]int, len(all))}
	for i, h := range all {
		r.ids[i] = h.id
		r.index[h.id] = i
	}
	return r
}

// Ring is a layout in which the k successors of a member on the hash ring
// observe it. Every member also has k subjects, the members that it observes.
type Ring struct {
	ring
	k int
}

// NewRing returns the ring layout of ids with k observers per member.
func NewRing(ids []string, k int) *Ring {
	return &Ring{ring: newRing(ids), k: min(k, max(len(ids)-1, 0))}
}

// Observers returns the members that observe subject.
func (r *Ring) Observers(subject string) []string { return r.atOffsets(subject, 1) }

// Subjects returns the members that observer observes.
func (r *Ring) Subjects(observer string) []string { return r.atOffsets(observer, -1) }

// OrderFrom returns all members in ring order, starting with first.
func (r *Ring) OrderFrom(first string) []string {
	i := r.index[first]
	return slices.Concat(r.ids[i:], r.ids[:i])
}

// atOffsets returns the members at the offsets step, 2*step, ..., k*step from
// the member from.
func (r *Ring) atOffsets(from string, step int) []string {
	at, ok := r.index[from]
	if !ok {
		return nil
	}
	out := make([]string, 0, r.k)
	n := len(r.ids)
	for i := 1; i <= r.k; i++ {
		out = append(out, r.ids[((at+step*i)%n+n)%n])
	}
	return out
}

// Rendezvous is a layout in which the k members with the highest score for a
// subject observe it.
type Rendezvous struct {
	observers map[string][]string
	subjects  map[string][]string
}

// NewRendezvous returns the rendezvous layout of ids with k observers per
// member.
func NewRendezvous(ids []string, k int) *Rendezvous {
	r := &Rendezvous{observers: map[string][]string{}, subjects: map[string][]string{}}
	for _, subject := range ids {
		others := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == subject })
		r.observers[subject] = Top(subject, others, k)
		for _, o := range r.observers[subject] {
			r.subjects[o] = append(r.subjects[o], subject)
		}
	}
	return r
}

// Observers returns the members that observe subject.
func (r *Rendezvous) Observers(subject string) []string { return r.observers[subject] }

// Subjects returns the members that observer observes.
func (r *Rendezvous) Subjects(observer string) []string { return r.subjects[observer] }

// Grouped is the shifted declustering layout over groups of fixed size. In a
// group of g members, member a is observed by (a + i*y) mod g for i in 1..k,
// where the shift y differs from group to group. The last group also takes the
// remaining members that don't fill a group.
type Grouped struct {
	ids   []string
	index map[string]int
	size  int
	k     int
}

// NewGrouped returns the grouped layout of ids, in the order given, with
// groups of size members and k observers per member.
func NewGrouped(ids []string, size, k int) *Grouped {
	g := &Grouped{ids: slices.Clone(ids), index: map[string]int{}, size: size, k: k}
	for i, id := range g.ids {
		g.index[id] = i
	}
	return g
}

// Observers returns the members that observe subject.
func (g *Grouped) Observers(subject string) []string { return g.atOffsets(subject, 1) }

// Subjects returns the members that observer observes.
func (g *Grouped) Subjects(observer string) []string { return g.atOffsets(observer, -1) }

// atOffsets returns the members of the group at the offsets shift, 2*shift, ...,
// k*shift after the member from, or before it if sign is -1.
func (g *Grouped) atOffsets(from string, sign int) []string {
	at, ok := g.index[from]
	if !ok {
		return nil
	}
	start, n := g.group(at)
	shift := g.shift(start/g.size, n)
	var out []string
	for i := 1; i <= min(g.k, n-1); i++ {
		p := ((at-start+sign*i*shift)%n + n) % n
		out = append(out, g.ids[start+p])
	}
	return out
}

// group returns the start and length of the group that contains position at.
// Remaining members that don't fill a group belong to the last group.
func (g *Grouped) group(at int) (start, n int) {
	groups := max(len(g.ids)/g.size, 1)
	groupIndex := min(at/g.size, groups-1)
	start = groupIndex * g.size
	if groupIndex == groups-1 {
		return start, len(g.ids) - start
	}
	return start, g.size
}

// shift returns the shift of a group of n members. It is coprime to n, so that
// the k observers of a member are distinct.
func (g *Grouped) shift(group, n int) int {
	y := group%max((n-1)/2, 1) + 1
	for gcd(y, n) != 1 {
		y++
	}
	return y
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
