package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/dedup"
	_ "tanagerchute/internal/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

// TestRunsAtMostOnce applies random sequences of concurrent, repeated and late
// attempts to a small table, which constantly drops records. Work must not run
// twice, and a fenced attempt must not run.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := dedup.NewTable(dedup.Config{MaxRecords: 4, MaxBytes: 1000, Retention: 5 * time.Second, MaxFences: 3})
		now := epoch
		issued := map[string]time.Time{}
		runs := map[string]int{}
		running := map[string]bool{}
		ended := map[string]bool{}
		fenced := map[string]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("k", rapid.IntRange(0, 8).Draw(t, "key"))
			if _, ok := issued[id]; !ok {
				issued[id] = now
			}
			key := dedup.Key{ID: id, Issued: issued[id]}
			attempt := id + fmt.Sprint("/", rapid.IntRange(0, 2).Draw(t, "attempt"))
			switch rapid.SampledFrom([]string{"begin", "begin", "finish", "lose", "withdraw", "inquire"}).Draw(t, "op") {
			case "begin":
				v, _ := table.Begin(now, key, attempt)
				if v != dedup.Run {
					continue
				}
				if fenced[attempt] {
					t.Fatalf("fenced attempt %s ran", attempt)
				}
				if running[id] || ended[id] {
					t.Fatalf("%s ran again", id)
				}
				runs[id]++
				running[id] = true
			case "finish":
				table.Finish(now, id, dedup.Answer{Status: 200, Body: make([]byte, 100)})
				ended[id] = ended[id] || running[id]
				delete(running, id)
			case "lose":
				table.MarkLost(now, id, "connection broke")
				ended[id] = ended[id] || running[id]
				delete(running, id)
			case "withdraw":
				table.Withdraw(id)
				delete(running, id)
			case "inquire":
				v, _ := table.Inquire(now, dedup.Inquiry{Key: key, Attempt: attempt})
				if v == dedup.Fenced {
					if running[id] || ended[id] {
						t.Fatalf("%s was reported as not begun", id)
					}
					fenced[attempt] = true
				}
				if running[id] && v != dedup.Join {
					t.Fatalf("%s is running, but was reported as %v", id, v)
				}
			}
			if table.Len()-len(running) > 4 || table.Bytes() > 1000+200 {
				t.Fatalf("table holds %d records and %d bytes", table.Len(), table.Bytes())
			}
		}
	})
}

// TestEndNotifiesWaiters checks that callers waiting for running work are
// notified of its end.
func TestEndNotifiesWaiters(t *testing.T) {
	is := is.New(t)
	table := dedup.NewTable(dedup.DefaultConfig(epoch))
	key := dedup.Key{ID: "k", Issued: epoch.Add(time.Second)}
	v, _ := table.Begin(epoch, key, "1")
	is.Equal(v, dedup.Run)
	v, _ = table.Begin(epoch, key, "2")
	is.Equal(v, dedup.Join)
	notified := false
	is.True(table.NotifyEnd("k", func() { notified = true }))
	table.Finish(epoch, "k", dedup.Answer{Status: 201})
	is.True(notified)
	is.True(!table.NotifyEnd("k", func() {}))
	v, a := table.Begin(epoch, key, "3")
	is.Equal(v, dedup.Replay)
	is.Equal(a.Status, 201)
}

// TestEarlierProcessIsTooOld guards against a false report of work as not run:
// the attempt may have been sent to an earlier process at the same address, of
// which this one has no records.
func TestEarlierProcessIsTooOld(t *testing.T) {
	is := is.New(t)
	table := dedup.NewTable(dedup.DefaultConfig(epoch))
	old := dedup.Key{ID: "old", Issued: epoch.Add(-time.Second)}
	v, _ := table.Inquire(epoch, dedup.Inquiry{Key: old, Attempt: "1"})
	is.Equal(v, dedup.TooOld)
	v, _ = table.Inquire(epoch, dedup.Inquiry{Key: old, Attempt: "1", Own: true})
	is.Equal(v, dedup.Fenced) // sent to this process, by a sender whose clock is behind
	v, _ = table.Inquire(epoch, dedup.Inquiry{Key: dedup.Key{ID: "new", Issued: epoch.Add(time.Second)}, Attempt: "1"})
	is.Equal(v, dedup.Fenced)
}

// TestFencedKey checks that no attempt at a fenced key can begin, and that
// running work is not fenced.
func TestFencedKey(t *testing.T) {
	is := is.New(t)
	table := dedup.NewTable(dedup.DefaultConfig(epoch))
	key := dedup.Key{ID: "k", Issued: epoch.Add(time.Second)}
	table.Fence(key)
	v, _ := table.Begin(epoch, key, "any")
	is.Equal(v, dedup.Fenced)

	running := dedup.Key{ID: "r", Issued: epoch.Add(time.Second)}
	v, _ = table.Begin(epoch, running, "1")
	is.Equal(v, dedup.Run)
	table.Fence(running)
	v, _ = table.Begin(epoch, running, "2")
	is.Equal(v, dedup.Join) // too late to fence it
}

func TestParseKey(t *testing.T) {
	now := time.Now()
	v7 := uuid.Must(uuid.NewV7()).String()
	dataCentres := []string{"hafnar", "selfoss"}
	for _, c := range []struct {
		name, in       string
		hasIssued, bad bool
		dataCentre     string
	}{
		{name: "version 7", in: v7, hasIssued: true},
		{name: "named data centre", in: "selfoss." + v7, hasIssued: true, dataCentre: "selfoss"},
		{name: "unknown data centre", in: "oslo." + v7},
		{name: "version 4", in: uuid.NewString()},
		{name: "opaque", in: "order-17"},
		{name: "empty", bad: true},
		{name: "space", in: "a b", bad: true},
		{name: "long", in: string(make([]byte, 200)), bad: true},
		{name: "future", in: "0fffffff-ffff-7000-8000-000000000000", bad: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k, err := dedup.ParseKey(c.in, now, dataCentres)
			is.Equal(err != nil, c.bad)
			is.Equal(!k.Issued.IsZero(), c.hasIssued)
			is.Equal(k.DataCentre, c.dataCentre)
		})
	}
}

// TestDroppedRecordIsNotFenced guards against an attempt that has run, whose record was dropped
// for want of room, and about which a sender is told that it has not started, since the
// clock of the sender is ahead. It would send the attempt elsewhere.
func TestDroppedRecordIsNotFenced(t *testing.T) {
	for _, c := range []struct {
		name   string
		cfg    dedup.Config
		answer int // bytes of each answer
	}{
		{"answers too large together", dedup.Config{MaxRecords: 100, MaxBytes: 10_000, Retention: 10 * time.Minute, MaxFences: 10}, 4000},
		{"too many records", dedup.Config{MaxRecords: 3, MaxBytes: 1 << 20, Retention: 10 * time.Minute, MaxFences: 10}, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			table := dedup.NewTable(c.cfg)
			for i := range 10 {
				now = now.Add(time.Second)
				id := fmt.Sprint("a", i)
				v, _ := table.Begin(now, dedup.Key{ID: id, Issued: now}, id)
				is.Equal(v, dedup.Run)
				table.Finish(now, id, dedup.Answer{Status: 200, Body: make([]byte, c.answer)})
			}
			is.True(table.Bytes() <= c.cfg.MaxBytes)
			v, _ := table.Inquire(now, dedup.Inquiry{Key: dedup.Key{ID: "a0", Issued: now.Add(time.Hour)}, Attempt: "a0", Own: true})
			is.True(v == dedup.Lost || v == dedup.TooOld)
			v, a := table.Inquire(now, dedup.Inquiry{Key: dedup.Key{ID: "a9", Issued: now}, Attempt: "a9", Own: true})
			is.Equal(v, dedup.Replay)
			is.Equal(len(a.Body), c.answer)
		})
	}
}

// TestClockOfSenderIsNoProof guards against work that runs twice, since a sender whose clock is
// ahead is told by a process that started later that its attempt has not begun.
func TestClockOfSenderIsNoProof(t *testing.T) {
	is := is.New(t)
	table := dedup.NewTable(dedup.DefaultConfig(epoch))
	ahead := dedup.Key{ID: "ahead", Issued: epoch.Add(time.Hour)}
	behind := dedup.Key{ID: "behind", Issued: epoch.Add(-time.Hour)}
	v, _ := table.Inquire(epoch.Add(time.Minute), dedup.Inquiry{Key: ahead, Attempt: "1", SentAt: epoch.Add(-time.Second)})
	is.Equal(v, dedup.TooOld)
	v, _ = table.Inquire(epoch.Add(time.Minute), dedup.Inquiry{Key: behind, Attempt: "2", SentAt: epoch.Add(time.Second)})
	is.Equal(v, dedup.Fenced)
}
