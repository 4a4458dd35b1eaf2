package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/eras"
	"tanagerchute/core/event"
	"tanagerchute/io/timer"
)

const (
	// maxRewriteDelay bounds the random delay before a node writes again what the
	// store has lost, so that the nodes do not write all at once.
	maxRewriteDelay = 400 * time.Millisecond
	// rewriteRetryDelay is the mean pause before a failed write is repeated.
	rewriteRetryDelay = 300 * time.Millisecond
	// rewriteTimeout is the time after which a node gives up. The periodic renewal
	// of its record goes on.
	rewriteTimeout = 30 * time.Second
	// ignoredEraInterval is the minimum time between two events about answers whose
	// era was ignored for the same reason.
	ignoredEraInterval = 10 * time.Second
)

// storeEras handles the eras of the store at one node.
type storeEras struct {
	changed      chan struct{} // receives a value when a new era has begun
	changes      atomic.Int64  // eras that have begun
	ignoredTotal atomic.Int64  // answers whose era was ignored
	mu           sync.Mutex
	ignored      map[eras.Kind]ignoredEras
}

// ignoredEras counts the answers whose era was ignored for one reason.
type ignoredEras struct {
	unreported int
	nextEvent  time.Time // earliest time of the next event
}

func newStoreEras() *storeEras {
	return &storeEras{changed: make(chan struct{}, 1), ignored: map[eras.Kind]ignoredEras{}}
}

// observeEra handles a verdict about the era of an answer of the store.
func (n *Node) observeEra(v eras.Verdict) {
	switch {
	case v.Changed():
		n.eras.changes.Add(1)
		select {
		case n.eras.changed <- struct{}{}:
		default: // a change that has not been handled yet is pending
		}
	case v.Ignored():
		n.eras.ignoredTotal.Add(1)
		if count := n.eras.countIgnored(v.Kind, time.Now()); count > 0 {
			n.recordStoreEvent(event.StoreEraIgnored, fmt.Sprintf("%v: %s (%d answers)", v.Kind, v.Cause, count))
		}
	}
}

// countIgnored counts an answer whose era was ignored. It returns the number of
// answers that an event is due for, or 0 if none is due.
func (e *storeEras) countIgnored(k eras.Kind, now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.ignored[k]
	i.unreported++
	due := 0
	if !now.Before(i.nextEvent) {
		due = i.unreported
		i = ignoredEras{nextEvent: now.Add(ignoredEraInterval)}
	}
	e.ignored[k] = i
	return due
}

func (n *Node) recordStoreEvent(k event.Kind, cause string) {
	n.journal.Add(event.Event{At: time.Now(), Kind: k, Subject: n.cfg.Store.Eras().Current.String(), Cause: cause})
}

// runStoreEras writes again what this node owns in the store whenever the store has
// restarted from an older copy, until ctx ends.
func (n *Node) runStoreEras(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.eras.changed:
			n.feed.ReadAgain()
			n.writeAgain(ctx)
		}
	}
}

// writeAgain writes what this node owns in the store, after a random delay, and records
// an event with the outcome. It repeats failed writes until rewriteTimeout.
func (n *Node) writeAgain(ctx context.Context) {
	began := time.Now()
	state := n.cfg.Store.Eras()
	if !timer.Sleep(ctx, rand.N(maxRewriteDelay)) {
		return
	}
	giveUpAt := began.Add(rewriteTimeout)
	var written []string
	for _, owner := range n.storeOwners() {
		what, err := n.writeOwned(ctx, owner, giveUpAt)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			written = append(written, fmt.Sprintf("%s failed: %v", owner.name, err))
		case what != "":
			written = append(written, what)
		}
	}
	if len(written) == 0 {
		written = []string{"nothing owned"}
	}
	after := n.cfg.Store.Eras()
	n.recordStoreEvent(event.StoreEraChanged, fmt.Sprintf("era %v after era %v, revision %s after %s; written again: %s; took %d ms",
		state.Current, state.Previous, formatRevision(after.Revision), formatRevision(state.PreviousRevision), strings.Join(written, ", "), time.Since(began).Milliseconds()))
}

// formatRevision formats a revision of the store, 0 if this node has read none.
func formatRevision(n int64) string {
	if n == 0 {
		return "unknown"
	}
	return strconv.FormatInt(n, 10)
}

// storeOwner writes one kind of data that this node owns in the store.
type storeOwner struct {
	name string
	// write writes the data again and describes it. It returns an empty description
	// if there is none.
	write func(ctx context.Context) (string, error)
}

// storeOwners returns what this node may own in the store. The version in force is
// written by the readers, see feed.Feed.
func (n *Node) storeOwners() []storeOwner {
	return []storeOwner{
		{"seed record", n.seeds.WriteAgain},
		{"claims", n.claims.WriteAgain},
	}
}

// writeOwned calls owner.write until it succeeds, giveUpAt has passed or ctx has ended.
func (n *Node) writeOwned(ctx context.Context, owner storeOwner, giveUpAt time.Time) (string, error) {
	for {
		what, err := owner.write(ctx)
		if err == nil || errors.Is(err, tanagerchute.ErrEraChanged) || time.Now().After(giveUpAt) {
			return what, err
		}
		if !timer.Sleep(ctx, rewriteRetryDelay/2+rand.N(rewriteRetryDelay)) {
			return "", ctx.Err()
		}
	}
}
