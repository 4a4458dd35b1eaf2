package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// numBuckets is the number of parts into which tables are divided when they are
// compared. Two tables that differ in a few records exchange the buckets of these
// records only.
const numBuckets = 64

// bucketOf returns the bucket of a member.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % numBuckets) }

// toggleDigest adds a record to the digest of its bucket, or removes it.
func (t *Table) toggleDigest(r Record) { t.digests[bucketOf(r.ID)] ^= r.hash() }

// Digest returns a hash of the table. Equal tables have equal digests.
func (t *Table) Digest() uint64 {
	var d uint64
	for _, b := range t.digests {
		d ^= b
	}
	return d
}

// SyncMessage is the request or the reply of an exchange of tables.
type SyncMessage struct {
	Records []Record
	// Digests holds the digest of each bucket. It is empty in messages of nodes
	// that always exchange whole tables.
	Digests []uint64
}

// SyncRequest returns the request for an exchange of tables. It contains the
// record of this node, so that a node that joins becomes known.
func (t *Table) SyncRequest() SyncMessage {
	return SyncMessage{Records: []Record{t.self}, Digests: slices.Clone(t.digests[:])}
}

// AnswerSync merges a request and returns the reply, which has the records of all
// buckets in which the tables differ.
func (t *Table) AnswerSync(now time.Time, req SyncMessage) (SyncMessage, []Action) {
	acts := t.Merge(now, req.Records)
	return SyncMessage{Records: t.recordsOf(t.differing(req.Digests)), Digests: slices.Clone(t.digests[:])}, acts
}

// CompleteSync merges a reply. It returns the records that the other node lacks
// or has in an older form, which have to be sent to it.
func (t *Table) CompleteSync(now time.Time, reply SyncMessage) (missing []Record, acts []Action) {
	joining := len(t.members) == 0
	acts = t.mergeAll(now, reply.Records)
	if joining {
		// The others know the members that this node has just learned of.
		clear(t.outbox)
		t.outbox[t.self.ID] = t.self
	}
	theirs := make(map[string]Record, len(reply.Records))
	for _, r := range reply.Records {
		theirs[r.ID] = r
	}
	for _, r := range t.recordsOf(t.differing(reply.Digests)) {
		if old, known := theirs[r.ID]; !known || r.overrides(old) {
			missing = append(missing, r)
		}
	}
	return missing, append(acts, t.flushOutbox(now)...)
}

// differing returns which buckets differ from those with the given digests. All
// do if the number of digests is not that of this version.
func (t *Table) differing(digests []uint64) [numBuckets]bool {
	var out [numBuckets]bool
	for b := range out {
		out[b] = len(digests) != numBuckets || digests[b] != t.digests[b]
	}
	return out
}

// recordsOf returns the records of the given buckets.
func (t *Table) recordsOf(buckets [numBuckets]bool) []Record {
	var out []Record
	for _, r := range t.Records() {
		if buckets[bucketOf(r.ID)] {
			out = append(out, r)
		}
	}
	return out
}
