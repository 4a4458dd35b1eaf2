package mesh_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute"
	"tanagerchute/core/event"
	"tanagerchute/io/mesh"
)

// maxRewriteTime bounds the time from the return of the store after a restart from a
// copy until everything that nodes own there is written again.
const maxRewriteTime = 2 * time.Second

// seedsPrefix is the prefix of the keys of the seed records.
const seedsPrefix = "/tanagerchute/nordurljos/seeds/"

// seedRecords returns the leases of the seed records in the store, by the name of
// their node.
func seedRecords(t *testing.T, ctx context.Context, m *mesh.Mesh) map[string]int64 {
	t.Helper()
	kvs, _, err := m.Store().List(ctx, seedsPrefix, tanagerchute.Latest)
	if err != nil {
		return nil // the store is away
	}
	out := map[string]int64{}
	for _, kv := range kvs {
		id := kv.Key[strings.LastIndex(kv.Key, "/")+1:]
		out[id] = kv.Lease
	}
	return out
}

// awaitSeedRecords waits until every node has a seed record with a lease of its own
// and returns how long that took.
func awaitSeedRecords(t *testing.T, ctx context.Context, m *mesh.Mesh, timeout time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		records := seedRecords(t, ctx, m)
		leases := map[int64]bool{}
		for _, l := range records {
			leases[l] = true
		}
		if len(records) == len(m.Instances) && len(leases) == len(records) {
			return time.Since(start)
		}
		if time.Since(start) > timeout {
			t.Fatalf("after %v there are %d seed records with %d leases, want %d", timeout, len(records), len(leases), len(m.Instances))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestSeedsAfterRestore restarts the store twice from a copy that has none of the seed
// records. All records must be back soon each time, although the store gives out the
// ids of their leases again, and their leases must be renewed.
func TestSeedsAfterRestore(t *testing.T) {
	cfg := smallConfig()
	var logged eraEvents
	cfg.OnEvent = logged.observe
	m, ctx := start(t, cfg)
	m.Platform.TakeCopy()
	awaitSeedRecords(t, ctx, m, 20*time.Second)
	for range 2 {
		const away = 300 * time.Millisecond
		m.Platform.RestoreCopy(away)
		took := awaitSeedRecords(t, ctx, m, away+maxRewriteTime)
		t.Logf("all seed records were back %v after the restart", took)
	}
	time.Sleep(16 * time.Second) // longer than the time to live of a record
	awaitSeedRecords(t, ctx, m, 0)
	logged.check(t, len(m.Instances))
}

// eraEvents collects the events about changes of the era.
type eraEvents struct {
	mu     sync.Mutex
	byNode map[string][]event.Event
}

func (e *eraEvents) observe(ev event.Event) {
	if ev.Kind != event.StoreEraChanged {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byNode == nil {
		e.byNode = map[string][]event.Event{}
	}
	e.byNode[ev.Node] = append(e.byNode[ev.Node], ev)
}

// check checks that each of the given number of nodes has recorded the eras 2 and 3, or
// only 3 if it missed the one between, and the seed record that it wrote.
func (e *eraEvents) check(t *testing.T, nodes int) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.byNode) != nodes {
		t.Errorf("%d nodes have recorded a change of the era, want %d", len(e.byNode), nodes)
	}
	for node, events := range e.byNode {
		last := events[len(events)-1]
		if last.Subject != "3" || !strings.HasPrefix(last.Cause, "era 3 after era ") || !strings.Contains(last.Cause, "seed record (lease ") || !strings.Contains(last.Cause, "; took ") {
			t.Errorf("node %s: event %q: %s", node, last.Subject, last.Cause)
		}
	}
	for _, events := range e.byNode {
		t.Log(events[len(events)-1].Cause)
		return
	}
}

// TestVersionAfterRestore restarts the store from a copy that lacks the version in
// force. No node may go back, the version must be written back, and changes must then
// follow it, twice in series.
func TestVersionAfterRestore(t *testing.T) {
	is := is.New(t)
	m, ctx := start(t, smallConfig())
	for round := range 2 {
		m.Platform.TakeCopy()
		lost := m.Instances[0].Node.Stamp().Number + 1
		number, err := m.Apply(ctx, fmt.Sprint("lost-", round), changedDocument(int(lost)))
		is.NoErr(err)
		is.Equal(number, lost)
		awaitVersion(t, m, lost, maxPropagationTime, everyInstance)
		m.Platform.RestoreCopy(200 * time.Millisecond)
		time.Sleep(200*time.Millisecond + maxRewriteTime)
		number, err = m.Apply(ctx, fmt.Sprint("after-", round), changedDocument(int(lost)+1))
		is.NoErr(err)
		is.Equal(number, lost+1) // the lost version had been written back
		awaitVersion(t, m, lost+1, maxPropagationTime, everyInstance)
	}
}

// TestIsolatedDataCentreAfterRestore restarts the store from an older copy while a data
// centre can't reach it. The version that was in force must stay in force there and
// everywhere else, and the next change must reach all nodes.
func TestIsolatedDataCentreAfterRestore(t *testing.T) {
	is := is.New(t)
	m, ctx := start(t, smallConfig())
	m.Platform.TakeCopy()
	number, err := m.Apply(ctx, "lost", changedDocument(2))
	is.NoErr(err)
	awaitVersion(t, m, number, maxPropagationTime, everyInstance)
	m.Isolate("selfoss", mesh.Isolation{Store: true})
	m.Platform.RestoreCopy(200 * time.Millisecond)
	for end := time.Now().Add(200*time.Millisecond + maxRewriteTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, in := range m.Instances {
			is.Equal(in.Node.Stamp().Number, number) // no node goes back
		}
	}
	next, err := m.Apply(ctx, "after", changedDocument(3))
	is.NoErr(err)
	is.Equal(next, number+1)
	awaitVersion(t, m, next, maxPropagationTime, everyInstance)
	m.Isolate("selfoss", mesh.Isolation{})
	awaitSeedRecords(t, ctx, m, 30*time.Second)
}
