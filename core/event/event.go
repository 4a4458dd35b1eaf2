// Package event records the decisions of a node, each with its cause, in a
// bounded journal.
//
// The journal is a ring buffer that keeps the newest events. It counts those that
// it has dropped, so that a reader can tell whether few events happened or older
// ones are missing.
//
// A Pacer bounds the rate of events that an outside system causes.
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
	NodeReloaded       Kind = "node_reloaded"  // changed settings were applied, or will be at the next start
	ReloadRefused      Kind = "reload_refused" // changed settings were not applied
	NodeReady          Kind = "node_ready"
	NodeDraining       Kind = "node_draining"
	NodeStopped        Kind = "node_stopped"
	NodePaused         Kind = "node_paused" // the process did not run for a while
	VersionApplied     Kind = "version_applied"
	VersionRefused     Kind = "version_refused"
	VersionForked      Kind = "version_forked"   // it contradicts the history of the version in force
	VersionUnproved    Kind = "version_unproved" // a node that looks for newer versions has not been able to in time
	VersionProved      Kind = "version_proved"   // it has been able to again
	StoreBackward      Kind = "store_backward"   // the newest version in the store is older than the one in force
	StoreRepaired      Kind = "store_repaired"   // a version that the store had lost was written back
	StoreLost          Kind = "store_lost"       // the store can't be reached
	StoreBack          Kind = "store_back"
	StoreEraChanged    Kind = "store_era_changed" // the store has restarted from an older copy
	StoreEraIgnored    Kind = "store_era_ignored" // an answer of the store named no era, or one that is not credible
	ReaderStarted      Kind = "reader_started"    // the node watches the store for new versions
	ReaderStopped      Kind = "reader_stopped"
	PeerJoined         Kind = "peer_joined"
	PeerSuspected      Kind = "peer_suspected"
	PeerRefuted        Kind = "peer_refuted" // a member refuted that it is suspect or dead
	PeerLeaving        Kind = "peer_leaving"
	PeerDead           Kind = "peer_dead"        // a member failed or completed a planned stop
	PeerChanged        Kind = "peer_changed"     // another change of the record of a member
	DataCentreLost     Kind = "data_centre_lost" // no contact with it
	DataCentreBack     Kind = "data_centre_back"
	DataCentreChanged  Kind = "data_centre_changed" // its summary has changed
	UpstreamReady      Kind = "upstream_ready"
	UpstreamLeaving    Kind = "upstream_leaving"
	UpstreamUnproved   Kind = "upstream_unproved"  // the server that answers at the address of the backend server is not used
	UpstreamReplaced   Kind = "upstream_replaced"  // a server of another service has the address of the own backend server
	CensusSaved        Kind = "census_saved"       // the store holds which nodes there are in the data centre, and who was heard at the addresses of their backend servers
	OwnerLearned       Kind = "owner_learned"      // what an earlier process had heard there was read from the store
	OwnerUnknown       Kind = "owner_unknown"      // the store did not answer a starting node in time
	LeaveSaved         Kind = "leave_saved"        // the leave of the own backend server is in the store
	LeaveUnsaved       Kind = "leave_unsaved"      // it was acknowledged before
	LeaveLearned       Kind = "leave_learned"      // a leave that was announced to an earlier process was read from the store
	LeaveUnknown       Kind = "leave_unknown"      // the store did not answer a starting node in time
	HeartbeatDoubted   Kind = "heartbeat_doubted"  // a heartbeat that the server at its address contradicts is not used
	UpstreamLimited    Kind = "upstream_limited"   // it named a rate limit, or another one than before
	UpstreamUnlimited  Kind = "upstream_unlimited" // it names no rate limit any more
	QuotaExceeded      Kind = "quota_exceeded"     // requests of a client account are refused, see package tokens
	QuotaUnanswered    Kind = "quota_unanswered"   // the keeper of the quota of a client account did not answer in time
	MembersCounted     Kind = "members_counted"    // a started node has read in the store how many members there may be
	QuotaKept          Kind = "quota_kept"         // the node is the keeper of the quota of a client account
	StatementMalformed Kind = "upstream_statement_malformed"
	HeartbeatStale     Kind = "heartbeat_stale" // it is older than the last one and ignored
	HeartbeatMalformed Kind = "heartbeat_malformed"
	// UpstreamClockSetBack is that of a server process that has an earlier start time than the one
	// that it has replaced.
	UpstreamClockSetBack Kind = "upstream_clock_set_back"
	HeartbeatForeign     Kind = "heartbeat_foreign" // a server of another service says that it has the address of the own backend server
	UpstreamFailing      Kind = "upstream_failing"
	UpstreamBack         Kind = "upstream_back"
	UpstreamEnded        Kind = "upstream_ended"       // the own backend server ended while calls were running there
	UpstreamEjected      Kind = "upstream_ejected"     // this node sends it no calls for a while
	RequestRefused       Kind = "request_refused"      // by the gatekeeper, it has not run
	RequestRejected      Kind = "request_rejected"     // by the ingress, before it was routed
	RequestKeyInvalid    Kind = "request_unauthorized" // by the ingress, its account key is missing, malformed or not that of an account
	RequestUnproved      Kind = "request_unproved"     // it has an account key, and the version in force has not been proved to be the newest for too long
	KeysSuspended        Kind = "keys_suspended"       // from now on, requests with account keys are refused as unproved
	KeysResumed          Kind = "keys_resumed"

	RequestHeld     Kind = "request_held"      // backend servers end when they run it, so that it is refused everywhere
	RequestReleased Kind = "request_released"  // it is no longer refused everywhere
	RequestMoved    Kind = "request_moved"     // sent again, or not to a local upstream
	RequestSpilled  Kind = "request_spilled"   // sent to another data centre, since the own one refuses more calls
	RequestNotMoved Kind = "request_not_moved" // refused for load, and every other upstream is full too
	RequestUnknown  Kind = "request_unknown"   // it may have run
	RequestOverdue  Kind = "request_overdue"   // it had no reply some time after its deadline
	// RequestOutlastsStop is that of a call which is refused during a planned stop of the
	// node, since it might last beyond its end.
	RequestOutlastsStop Kind = "request_outlasts_stop"
	AnswerMissing       Kind = "answer_missing" // the connection to the node that a call was sent to ended before its answer
	// RequestUnprocessed is that of a call whose node has closed the connection without looking at
	// the call, so that it has not run there.
	RequestUnprocessed Kind = "request_unprocessed"
	LinkSilent         Kind = "link_silent"      // nothing is received from a node that calls are in flight to
	TransferWaited     Kind = "transfer_waited"  // a body or a large answer was admitted to a link after a wait
	TransferRefused    Kind = "transfer_refused" // a link has no room in time for a body or a large answer
	RequestFenced      Kind = "request_fenced"   // an attempt that had not started may no longer start
	RequestReplayed    Kind = "request_replayed" // it got the answer recorded for its key
	StandingLost       Kind = "standing_lost"    // the node has lost the quorum
	StandingGained     Kind = "standing_gained"  // the node has gained a quorum

	RolloutOrdered     Kind = "rollout_ordered"
	RolloutRefused     Kind = "rollout_refused" // an order, or its stored state, can't be read
	RolloutWithdrawn   Kind = "rollout_withdrawn"
	RolloutClaimed     Kind = "rollout_claimed"     // this node decides about the roll-out
	RolloutClaimLost   Kind = "rollout_claim_lost"  // this node no longer does
	RolloutStage       Kind = "rollout_stage"       // another stage is in effect at this node
	RolloutUnconfirmed Kind = "rollout_unconfirmed" // the holder is silent, so that all calls go to the old version
	RolloutConfirmed   Kind = "rollout_confirmed"
	AnswerDiscarded    Kind = "answer_discarded" // the own backend server sent something that is no answer to the request
	AnswerCut          Kind = "answer_cut"       // the connection of a caller ended before its answer was written whole
	ConnectionReset    Kind = "connection_reset" // that of a caller was closed before its answer had arrived
	CallerEnded        Kind = "caller_ended"     // a caller shut down its sending side, or left, while its request was in progress
	StopCutsCall       Kind = "stop_cuts_call"   // the backend server still works on a call as a planned stop ends
	HeadCut            Kind = "head_cut"         // the connection of a caller was closed in the middle of a large head
	RequestDropped     Kind = "request_dropped"  // the connection of a caller was closed with requests that were read and not answered
	HandlerFailed      Kind = "handler_failed"   // a request was not answered, since the code that serves it failed
	MemoryWaited       Kind = "memory_waited"    // a body or an answer was read after a wait for memory
	MemoryRefused      Kind = "memory_refused"   // there is no memory in time for a body or an answer
	MemoryHigh         Kind = "memory_high"      // the process comes close to the memory of its instance

	FrameDropped Kind = "frame_dropped" // a message of a peer was malformed or not expected
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
	Node     string // id of the node
	Capacity int    // number of events that are kept
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

// defaultCapacity is the number of events kept if Config.Capacity is not positive.
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
