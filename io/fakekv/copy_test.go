package fakekv_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"tanagerchute"
	"tanagerchute/io/etcd"
	"tanagerchute/io/fakekv"
)

// startServer starts a stand-in and returns it with a client and its base URL.
func startServer(t *testing.T) (*fakekv.Server, *etcd.Client, string) {
	t.Helper()
	s := fakekv.New(fakekv.Config{})
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, etcd.New(etcd.Config{Endpoints: []string{srv.URL}}), srv.URL
}

// put writes a key.
func put(t *testing.T, c *etcd.Client, key, value string) {
	t.Helper()
	ok, err := c.Commit(t.Context(), tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: key, Value: []byte(value)}}})
	if err != nil || !ok {
		t.Fatal(ok, err)
	}
}

// get reads the value of a key and its revision.
func get(t *testing.T, c *etcd.Client, key string) (string, int64) {
	t.Helper()
	kv, _, err := c.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	return string(kv.Value), kv.ModRevision
}

// eraOf returns the era that a call to the stand-in at url is answered with.
func eraOf(t *testing.T, url string) string {
	t.Helper()
	res, err := http.Get(url + "/calls")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	return res.Header.Get(etcd.EraHeader)
}

// TestRestoreCopy checks, for two restores in series, that the writes after the copy
// are gone, that their revisions and ids of leases are given out again, that the era
// rises by one each time, and that the store is away for a while.
func TestRestoreCopy(t *testing.T) {
	is := is.New(t)
	s, c, url := startServer(t)
	for era := 2; era <= 3; era++ {
		put(t, c, "k", "before")
		s.TakeCopy()
		put(t, c, "k", "lost")
		_, lostRevision := get(t, c, "k")
		lostLease, err := c.Grant(t.Context(), time.Minute)
		is.NoErr(err)
		s.RestoreCopy(50 * time.Millisecond)
		_, _, err = c.Get(t.Context(), "k")
		is.True(errors.Is(err, tanagerchute.ErrUnavailable)) // the store is away
		time.Sleep(60 * time.Millisecond)
		is.Equal(eraOf(t, url), fmt.Sprint(era))
		value, _ := get(t, c, "k")
		is.Equal(value, "before")
		put(t, c, "k", fmt.Sprint("era ", era))
		_, revision := get(t, c, "k")
		is.Equal(revision, lostRevision)
		lease, err := c.Grant(t.Context(), time.Minute)
		is.NoErr(err)
		is.Equal(lease.ID, lostLease.ID)
	}
}

// TestWatchAfterRestore checks that a restart cuts an open watch, and that a watch
// from a revision that the store does not have fails with ErrCompacted.
func TestWatchAfterRestore(t *testing.T) {
	is := is.New(t)
	s, c, url := startServer(t)
	s.TakeCopy()
	put(t, c, "k", "lost")
	_, revision := get(t, c, "k")
	ready, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- c.Watch(context.Background(), "k", tanagerchute.Revision{Number: revision + 1}, func() { close(ready) }, func(tanagerchute.Event) {})
	}()
	<-ready
	s.RestoreCopy(0)
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the watch was not cut")
	}
	newcomer := etcd.New(etcd.Config{Endpoints: []string{url}}) // knows of no earlier era
	err := newcomer.Watch(t.Context(), "k", tanagerchute.Revision{Number: revision + 1}, func() {}, func(tanagerchute.Event) {})
	is.True(errors.Is(err, tanagerchute.ErrCompacted))
}

// TestRestoreDuringCalls restarts the store while writes are in progress. A write that
// was acknowledged after the last restart must be there.
func TestRestoreDuringCalls(t *testing.T) {
	is := is.New(t)
	s, c, _ := startServer(t)
	s.TakeCopy()
	const writers = 8
	restarted := make(chan struct{})
	acknowledged := make([]string, writers) // last acknowledged value that was sent after the restart
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				value := fmt.Sprint(n)
				sentAfter := false
				select {
				case <-restarted:
					sentAfter = true
				default:
				}
				_, err := c.Commit(context.Background(), tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: fmt.Sprint("k", i), Value: []byte(value)}}})
				if err == nil && sentAfter {
					acknowledged[i] = value
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	s.RestoreCopy(20 * time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	s.RestoreCopy(20 * time.Millisecond)
	close(restarted)
	wg.Wait()
	for i, want := range acknowledged {
		is.True(want != "")
		got, _ := get(t, c, fmt.Sprint("k", i))
		is.Equal(got, want)
	}
}
