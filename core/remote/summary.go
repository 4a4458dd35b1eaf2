package remote

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerchute/core/member"
	"tanagerchute/core/rank"
)

// Bounds on a summary and on the number of summaries.
const (
	entriesPerService   = 3
	relaysPerDataCentre = 3
	maxServices         = 256
	maxDataCentres      = 64
	maxNameBytes        = 128 // of a data centre or service name
)

// Service summarizes one service in a data centre.
type Service struct {
	Name    string
	Slots   int      // total of the upstreams that accept calls
	Entries []string // addresses of nodes that accept calls from other data centres
}

// Summary is what a data centre publishes about itself. It is immutable.
type Summary struct {
	DataCentre string
	Services   []Service // sorted by name
	Relays     []string  // addresses of the nodes that other data centres contact
}

// Summarize computes the summary of a data centre from the records of its members.
func Summarize(dataCentre string, records []member.Record) Summary {
	byService := map[string][]member.Record{}
	var up []string
	addrs := map[string]string{}
	for _, r := range records {
		if r.State == member.Alive {
			up = append(up, r.ID)
			addrs[r.ID] = r.Addr
		}
		if r.AcceptsCalls() {
			byService[r.Service] = append(byService[r.Service], r)
		}
	}
	s := Summary{DataCentre: dataCentre}
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		s.Services = append(s.Services, summarizeService(name, byService[name]))
	}
	// The relays are ranked like the readers of the store, see package fanout.
	for _, id := range rank.Top("reader", up, relaysPerDataCentre) {
		s.Relays = append(s.Relays, addrs[id])
	}
	return s
}

func summarizeService(name string, records []member.Record) Service {
	s := Service{Name: name}
	ids := make([]string, 0, len(records))
	addrs := map[string]string{}
	for _, r := range records {
		s.Slots += r.Slots
		ids = append(ids, r.ID)
		addrs[r.ID] = r.Addr
	}
	for _, id := range rank.Top("entry/"+name, ids, entriesPerService) {
		s.Entries = append(s.Entries, addrs[id])
	}
	return s
}

// Digest returns a hash of the summary. It is never 0, which stands for an
// unknown summary.
func (s Summary) Digest() uint64 {
	var b strings.Builder
	fmt.Fprintf(&b, "%s|%v", s.DataCentre, s.Relays)
	for _, x := range s.Services {
		fmt.Fprintf(&b, "|%s %d %v", x.Name, x.Slots, x.Entries)
	}
	return max(xxhash.Sum64String(b.String()), 1)
}

// Validate checks a summary received from a peer against the bounds.
func (s Summary) Validate() error {
	if s.DataCentre == "" || len(s.DataCentre) > maxNameBytes {
		return fmt.Errorf("summary has a data centre name of invalid length: %d bytes", len(s.DataCentre))
	}
	if len(s.Services) > maxServices || len(s.Relays) > relaysPerDataCentre {
		return fmt.Errorf("summary of %s is too large: %d services, %d relays", s.DataCentre, len(s.Services), len(s.Relays))
	}
	for _, x := range s.Services {
		if len(x.Entries) > entriesPerService || x.Slots < 0 || len(x.Name) > maxNameBytes {
			return fmt.Errorf("summary of %s has a service with too many entry nodes, negative slots or an oversized name", s.DataCentre)
		}
	}
	return nil
}

// centre is the state of another data centre.
type centre struct {
	summary     Summary
	seq         uint64
	lastContact time.Time
	lost        bool
}

// Table holds the summaries of the other data centres. It is not safe for
// concurrent use.
type Table struct {
	self      string // name of this node's data centre
	lostAfter time.Duration
	centres   map[string]*centre
}

// Config configures a Table.
type Config struct {
	DataCentre string
	LostAfter  time.Duration // time without contact after which a data centre counts as lost
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{self: cfg.DataCentre, lostAfter: cfg.LostAfter, centres: map[string]*centre{}}
}

// Update carries a summary of another data centre between the nodes of this one.
// Seq orders the updates about one data centre. It is incremented by the node
// that received the summary directly or declared the data centre lost.
type Update struct {
	Summary Summary
	Seq     uint64
	Lost    bool
}

// UpdateDirect stores a summary received from the data centre that it describes.
// If the summary is new or the data centre was lost, it returns the update to
// forward and true.
func (t *Table) UpdateDirect(now time.Time, s Summary) (Update, bool) {
	c, ok := t.getOrAdd(s.DataCentre)
	if !ok {
		return Update{}, false
	}
	c.lastContact = now
	if !c.lost && c.seq > 0 && c.summary.Digest() == s.Digest() {
		return Update{}, false
	}
	c.summary, c.lost = s, false
	c.seq++
	return Update{Summary: s, Seq: c.seq}, true
}

// ConfirmUnchanged records an exchange with a data centre whose summary has not
// changed. If the data centre was lost, it returns the update to forward and
// true.
func (t *Table) ConfirmUnchanged(now time.Time, name string) (Update, bool) {
	c, ok := t.centres[name]
	if !ok {
		return Update{}, false
	}
	return t.UpdateDirect(now, c.summary)
}

// Merge applies an update forwarded by another node of this data centre. It
// reports whether the update is new and has to be forwarded.
func (t *Table) Merge(now time.Time, u Update) bool {
	c, ok := t.getOrAdd(u.Summary.DataCentre)
	if !ok || u.Seq <= c.seq {
		return false
	}
	c.summary, c.seq, c.lost, c.lastContact = u.Summary, u.Seq, u.Lost, now
	return true
}

// MarkLost marks the data centres as lost that this relay had no contact with
// for Config.LostAfter, and returns the updates to forward.
func (t *Table) MarkLost(now time.Time) []Update {
	var out []Update
	for _, name := range slices.Sorted(maps.Keys(t.centres)) {
		c := t.centres[name]
		if c.lost || now.Sub(c.lastContact) < t.lostAfter {
			continue
		}
		c.lost = true
		c.seq++
		out = append(out, Update{Summary: c.summary, Seq: c.seq, Lost: true})
	}
	return out
}

// Updates returns the state of all data centres, for a node that joins.
func (t *Table) Updates() []Update {
	var out []Update
	for _, name := range slices.Sorted(maps.Keys(t.centres)) {
		c := t.centres[name]
		out = append(out, Update{Summary: c.summary, Seq: c.seq, Lost: c.lost})
	}
	return out
}

// Digest returns the digest of the summary of a data centre. It returns 0 if the
// data centre is unknown or lost.
func (t *Table) Digest(name string) uint64 {
	c, ok := t.centres[name]
	if !ok || c.lost {
		return 0
	}
	return c.summary.Digest()
}

// Reachable reports whether a data centre is known and not lost.
func (t *Table) Reachable(name string) bool {
	c, ok := t.centres[name]
	return ok && c.seq > 0 && !c.lost
}

// ResetLastContact sets the last contact with all data centres to now. A node
// that becomes a relay calls it, since it had no direct contact before.
func (t *Table) ResetLastContact(now time.Time) {
	for _, c := range t.centres {
		c.lastContact = now
	}
}

// getOrAdd returns the state of a data centre, which is added if unknown. ok is
// false for this node's data centre, and for a new one if the table is full.
func (t *Table) getOrAdd(name string) (*centre, bool) {
	if name == t.self {
		return nil, false
	}
	c, ok := t.centres[name]
	if !ok && len(t.centres) < maxDataCentres {
		c = &centre{}
		t.centres[name] = c
		ok = true
	}
	return c, ok
}

// Entry is a node that accepts calls for a service in another data centre.
type Entry struct {
	DataCentre string
	Addr       string
	Slots      int // of the service in the whole data centre
}

// View is an immutable snapshot of a Table.
type View struct {
	entries   map[string][]Entry
	Reachable map[string]bool     // by data centre, false if it is lost
	Relays    map[string][]string // addresses of the relays by data centre
}

// View returns a snapshot. It has no entries for data centres that are lost.
func (t *Table) View() View {
	v := View{entries: map[string][]Entry{}, Reachable: map[string]bool{}, Relays: map[string][]string{}}
	for name, c := range t.centres {
		v.Relays[name] = c.summary.Relays
		v.Reachable[name] = !c.lost
		if c.lost {
			continue
		}
		for _, s := range c.summary.Services {
			for _, addr := range s.Entries {
				v.entries[s.Name] = append(v.entries[s.Name], Entry{name, addr, s.Slots})
			}
		}
	}
	return v
}

// Entries returns the entry nodes for a service in other data centres.
func (v View) Entries(service string) []Entry { return v.entries[service] }
