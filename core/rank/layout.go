package rank

import (
	"cmp"
	"slices"
)

// ring is a hash ring.
type ring struct {
	salt    string // different salts give rings of independent order
	members []hashedID
}

// hashedID is a member with its position on a ring.
type hashedID struct {
	hash uint64
	id   string
}

func compareHashed(a, b hashedID) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

func newRing(salt string, ids []string) ring {
	r := ring{salt: salt, members: make([]hashedID, len(ids))}
	for i, id := range ids {
		r.members[i] = r.hashed(id)
	}
	slices.SortFunc(r.members, compareHashed)
	return r
}

func (r ring) hashed(id string) hashedID { return hashedID{Score(r.salt, id), id} }

// find returns the index of a member, or the one at which it would be inserted.
func (r ring) find(id string) (int, bool) {
	return slices.BinarySearchFunc(r.members, r.hashed(id), compareHashed)
}

// at returns the id at index i, counted around the ring.
func (r ring) at(i int) string {
	n := len(r.members)
	return r.members[(i%n+n)%n].id
}

// insert adds a member.
func (r *ring) insert(id string) {
	if at, ok := r.find(id); !ok {
		r.members = slices.Insert(r.members, at, r.hashed(id))
	}
}

// remove removes a member.
func (r *ring) remove(id string) {
	if at, ok := r.find(id); ok {
		r.members = slices.Delete(r.members, at, at+1)
	}
}

// clone returns a copy.
func (r ring) clone() ring { return ring{r.salt, slices.Clone(r.members)} }

// Ring is a layout in which the k successors of a member on the hash ring
// observe it. Every member also has k subjects, the members that it observes. A
// Ring is immutable.
type Ring struct {
	ring
	k int
}

// NewRing returns the ring layout of ids with k observers per member.
func NewRing(ids []string, k int) *Ring { return &Ring{newRing("ring", ids), k} }

// With returns the layout with id added.
func (r *Ring) With(id string) *Ring {
	out := &Ring{r.clone(), r.k}
	out.insert(id)
	return out
}

// Without returns the layout with id removed.
func (r *Ring) Without(id string) *Ring {
	out := &Ring{r.clone(), r.k}
	out.remove(id)
	return out
}

// Len returns the number of members.
func (r *Ring) Len() int { return len(r.members) }

// Observers returns the members that observe subject. For an id that is not a
// member, these are the ones that would observe it.
func (r *Ring) Observers(subject string) []string {
	at, ok := r.find(subject)
	if !ok {
		at-- // the member at the index of insertion is the first successor
	}
	return r.atOffsets(at, 1, ok)
}

// Subjects returns the members that observer observes.
func (r *Ring) Subjects(observer string) []string {
	at, ok := r.find(observer)
	if !ok {
		return nil
	}
	return r.atOffsets(at, -1, true)
}

// OrderFrom returns all members in ring order, starting with first.
func (r *Ring) OrderFrom(first string) []string {
	start, _ := r.find(first)
	out := make([]string, len(r.members))
	for i := range r.members {
		out[i] = r.at(start + i)
	}
	return out
}

// atOffsets returns the members at the offsets step, 2*step, ..., k*step from
// index at. If isMember is set, there is a member at that index, which is left
// out.
func (r *Ring) atOffsets(at, step int, isMember bool) []string {
	others := len(r.members)
	if isMember {
		others--
	}
	out := make([]string, 0, min(r.k, others))
	for i := 1; i <= min(r.k, others); i++ {
		out = append(out, r.at(at+step*i))
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
