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

// Bounds of a summary.
const (
	entriesPerService = 3
	relaysPerCentre   = 3
	maxServices       = 256
	maxCentres        = 64
	maxNameBytes      = 128
)

// Service is the state of one service in a data centre.
type Service struct {
	Name    string
	Slots   int      // sum over the upstreams that take work
	Entries []string // addresses of nodes that take calls from elsewhere
}

// Summary is what other data centres know of one. It is immutable.
type Summary struct {
	DataCentre string
	Services   []Service // sorted by name
	Relays     []string  // addresses that answer exchanges
}

// Summarize derives the summary of a data centre from its members.
func Summarize(centre string, records []member.Record) Summary {
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
	s := Summary{DataCentre: centre}
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		s.Services = append(s.Services, summarizeService(name, byService[name]))
	}
	for _, id := range rank.Top("reader", up, relaysPerCentre) {
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

// Digest returns a hash of the summary. It is never 0, so that 0 can stand
// for a summary that is not known.
func (s Summary) Digest() uint64 {
	var b strings.Builder
	fmt.Fprintf(&b, "%s|%v", s.DataCentre, s.Relays)
	for _, x := range s.Services {
		fmt.Fprintf(&b, "|%s %d %v", x.Name, x.Slots, x.Entries)
	}
	return max(xxhash.Sum64String(b.String()), 1)
}

// Validate returns an error if a summary that came from a peer is oversized.
func (s Summary) Validate() error {
	if s.DataCentre == "" || len(s.DataCentre) > maxNameBytes {
		return fmt.Errorf("summary has a data centre name of %d bytes", len(s.DataCentre))
	}
	if len(s.Services) > maxServices || len(s.Relays) > relaysPerCentre {
		return fmt.Errorf("summary of %s lists %d services and %d relays", s.DataCentre, len(s.Services), len(s.Relays))
	}
	for _, x := range s.Services {
		if len(x.Entries) > entriesPerService || x.Slots < 0 || len(x.Name) > maxNameBytes {
			return fmt.Errorf("summary of %s has an oversized service", s.DataCentre)
		}
	}
	return nil
}

// centre is a data centre as it is known here.
type centre struct {
	summary     Summary
	seq         uint64
	lastContact time.Time
	lost        bool
}

// Table holds the summaries of the other data centres. It is not safe for
// concurrent use.
type Table struct {
	self      string
	lostAfter time.Duration
	centres   map[string]*centre
}

// Config configures a Table.
type Config struct {
	DataCentre string
	LostAfter  time.Duration // silence after which a data centre counts as lost
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{self: cfg.DataCentre, lostAfter: cfg.LostAfter, centres: map[string]*centre{}}
}

// Update is a summary on its way through a data centre. Seq orders the updates
// about one data centre; the node that hears from it raises Seq.
type Update struct {
	Summary Summary
	Seq     uint64
	Lost    bool
}

// Heard takes a summary that the data centre itself sent. It returns the
// update to pass on, and whether it says anything new.
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

// Alive notes an exchange with a data centre that brought nothing new.
func (t *Table) ConfirmUnchanged(now time.Time, name string) (Update, bool) {
	c, ok := t.centres[name]
	if !ok {
		return Update{}, false
	}
	return t.UpdateDirect(now, c.summary)
}

// Merge takes an update that another node of this data centre passed on. It
// reports whether it is new and has to be passed on.
func (t *Table) Merge(now time.Time, u Update) bool {
	c, ok := t.getOrAdd(u.Summary.DataCentre)
	if !ok || u.Seq <= c.seq {
		return false
	}
	c.summary, c.seq, c.lost, c.lastContact = u.Summary, u.Seq, u.Lost, now
	return true
}

// Silent marks the data centres that this relay has not heard from for too
// long, and returns the updates to pass on.
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

// Updates returns all that is known, for a node that joins.
func (t *Table) Updates() []Update {
	var out []Update
	for _, name := range slices.Sorted(maps.Keys(t.centres)) {
		c := t.centres[name]
		out = append(out, Update{Summary: c.summary, Seq: c.seq, Lost: c.lost})
	}
	return out
}

// Digest returns the digest of the summary known of a data centre, or 0.
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

// Touch counts a data centre as heard at now. A node that becomes a relay
// starts its judgement of silence there.
func (t *Table) ResetLastContact(now time.Time) {
	for _, c := range t.centres {
		c.lastContact = now
	}
}

func (t *Table) getOrAdd(name string) (*centre, bool) {
	if name == t.self {
		return nil, false
	}
	c, ok := t.centres[name]
	if !ok && len(t.centres) < maxCentres {
		c = &centre{}
		t.centres[name] = c
		ok = true
	}
	return c, ok
}

// Entry is one way into another data centre.
type Entry struct {
	DataCentre string
	Addr       string
	Slots      int // of the service in the whole data centre
}

// View is an immutable copy of a Table for readers.
type View struct {
	entries   map[string][]Entry
	Reachable map[string]bool // reachable data centres
	Relays    map[string][]string
}

// View returns a copy of what is known of the data centres that are not lost.
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

// Entries returns the ways to a service in other data centres.
func (v View) Entries(service string) []Entry { return v.entries[service] }
