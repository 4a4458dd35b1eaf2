// Package event records the decisions of a node, each with its cause, in a
// bounded journal.
//
// The journal is a ring buffer that keeps the newest events. It counts those that
// it has dropped, so that a reader can tell whether few events happened or older
// ones are missing.
//
// # Usage
//
//	j := event.NewJournal(event.Config{Node: "hafnar-1", Capacity: 4096})
//	j.Add(event.Event{At: now, Kind: event.VersionApplied, Subject: "7", Cause: "pushed by hafnar-2"})
//	events := j.Find("7")
package event

import (
	"strings"
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	NodeStarted        Kind = "node_started"
	NodeReloaded       Kind = "node_reloaded"
	ReloadRefused      Kind = "reload_refused"
	NodeReady          Kind = "node_ready"
	NodeDraining       Kind = "node_draining"
	NodeStopped        Kind = "node_stopped"
	NodePaused         Kind = "node_paused"
	VersionApplied     Kind = "version_applied"
	VersionRefused     Kind = "version_refused"
	VersionForked      Kind = "version_forked"
	StoreBackward      Kind = "store_backward"
	StoreRepaired      Kind = "store_repaired"
	StoreLost          Kind = "store_lost"
	StoreBack          Kind = "store_back"
	ReaderStarted      Kind = "reader_started"
	ReaderStopped      Kind = "reader_stopped"
	PeerJoined         Kind = "peer_joined"
	PeerSuspected      Kind = "peer_suspected"
	PeerRefuted        Kind = "peer_refuted"
	PeerLeaving        Kind = "peer_leaving"
	PeerDead           Kind = "peer_dead"
	PeerChanged        Kind = "peer_changed"
	DataCentreLost     Kind = "data_centre_lost"
	DataCentreBack     Kind = "data_centre_back"
	DataCentreChanged  Kind = "data_centre_changed"
	UpstreamReady      Kind = "upstream_ready"
	UpstreamLeaving    Kind = "upstream_leaving"
	HeartbeatStale     Kind = "heartbeat_stale"
	HeartbeatMalformed Kind = "heartbeat_malformed"
	UpstreamFailing    Kind = "upstream_failing"
	UpstreamBack       Kind = "upstream_back"
	UpstreamEjected    Kind = "upstream_ejected"
	RequestRefused     Kind = "request_refused"
	RequestRejected    Kind = "request_rejected"
	RequestMoved       Kind = "request_moved"
	RequestUnknown     Kind = "request_unknown"
	RequestFenced      Kind = "request_fenced"
	RequestReplayed    Kind = "request_replayed"
	StandingLost       Kind = "standing_lost"
	StandingGained     Kind = "standing_gained"
	FrameDropped       Kind = "frame_dropped"
)

// Event is one decision or observation of a node.
type Event struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Kind    Kind      `json:"kind"`
	Subject string    `json:"subject"`            // version number, node, data centre or request id
	Trace   string    `json:"trace_id,omitempty"` // W3C trace id, if the event concerns a call
	Cause   string    `json:"cause"`
}

// Config configures a Journal.
type Config struct {
	Node     string
	Capacity int // number of events that are kept
	// Observe, if set, is called with each event, for logs and metrics. It must
	// not block.
	Observe func(Event)
}

// Journal is a ring buffer of events. It is safe for concurrent use.
type Journal struct {
	cfg     Config
	mu      sync.Mutex
	ring    []Event
	next    int // oldest event once the ring is full
	dropped uint64
}

const defaultCapacity = 4096

// NewJournal returns an empty journal.
func NewJournal(cfg Config) *Journal {
	if cfg.Capacity <= 0 {
		cfg.Capacity = defaultCapacity
	}
	return &Journal{cfg: cfg}
}

// Add appends e with its Node set, and drops the oldest event if the journal is
// full.
func (j *Journal) Add(e Event) {
	e.Node = j.cfg.Node
	j.mu.Lock()
	if len(j.ring) < j.cfg.Capacity {
		j.ring = append(j.ring, e)
	} else {
		j.ring[j.next] = e
		j.next = (j.next + 1) % len(j.ring)
		j.dropped++
	}
	j.mu.Unlock()
	if j.cfg.Observe != nil {
		j.cfg.Observe(e)
	}
}

// Dropped returns the number of events that were dropped.
func (j *Journal) Dropped() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.dropped
}

// Find returns the events that match subject, oldest first. An event matches if
// its subject or trace id equals subject, or if its cause contains subject. The
// name of an instance also matches the events of its processes and the events
// about them. An empty subject matches all events.
func (j *Journal) Find(subject string) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Event
	for i := range j.ring {
		e := j.ring[(j.next+i)%len(j.ring)]
		if e.matches(subject) {
			out = append(out, e)
		}
	}
	return out
}

func (e Event) matches(subject string) bool {
	if subject == "" || e.Subject == subject || e.Trace == subject {
		return true
	}
	// A process id is the name of its instance, a dot and a suffix.
	if strings.HasPrefix(e.Subject, subject+".") || strings.HasPrefix(e.Node, subject+".") {
		return true
	}
	return len(subject) > 2 && strings.Contains(e.Cause, subject)
}
