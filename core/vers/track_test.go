package vers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/config"
	"tanagerchute/core/vers"
	_ "tanagerchute/internal/seed"
)

func documentJSON(deployment string, ms int) []byte {
	return fmt.Appendf(nil, `{"deployment": %q, "services": [{"name": "s", "classes": [
		{"name": "c", "match": [{"path": "/"}], "answer_within": "%dms", "may_wait": "1ms"}]}]}`, deployment, ms)
}

// versionChain returns versions 1 to n of one history.
func versionChain(n int) []vers.Version {
	var out []vers.Version
	var parent vers.Version
	for i := range n {
		parent = vers.New(parent, fmt.Sprint("op", i), "x", time.Unix(int64(i), 0), documentJSON("d", i+2))
		out = append(out, parent)
	}
	return out
}

// deploymentOf returns the deployment that the document of v names.
func deploymentOf(t *rapid.T, v vers.Version) string {
	d, err := config.Parse("version", v.Content)
	if err != nil {
		t.Fatal(err)
	}
	return d.Deployment
}

// TestOfferNeverMovesBackward checks that no sequence of offers makes the tracker
// return to an older version, replace a version by another one of the same
// number, or apply a version that is corrupt, invalid or of another deployment.
// It offers versions of two forked histories in any order, any number of times.
func TestOfferNeverMovesBackward(t *testing.T) {
	good := versionChain(12)
	// A fork after version 5, as written by a store that was restored from a
	// backup.
	fork := good[:5:5]
	for i := 5; i < 12; i++ {
		fork = append(fork, vers.New(fork[i-1], "other", "y", time.Unix(int64(i), 0), documentJSON("d", 1000+i)))
	}
	rapid.Check(t, func(t *rapid.T) {
		tr := vers.NewTracker(vers.DocumentConfig("d"))
		for range rapid.IntRange(1, 60).Draw(t, "offers") {
			before := tr.Current()
			i := rapid.IntRange(0, 11).Draw(t, "version")
			v := good[i]
			kind := rapid.SampledFrom([]string{"good", "good", "fork", "damaged", "foreign", "invalid"}).Draw(t, "kind")
			switch kind {
			case "fork":
				v = fork[i]
			case "damaged":
				v = v.WithContent(append([]byte("x"), v.Content...))
			case "foreign":
				v = vers.New(tr.Current().Version, "op", "x", time.Unix(1, 0), documentJSON("other", 5))
			case "invalid":
				v = vers.New(tr.Current().Version, "op", "x", time.Unix(1, 0), []byte(`{"deployment": "d", "services": [], "weights": 3}`))
			}
			d := tr.Offer(v)
			after := tr.Current()
			if after.Version.Number < before.Version.Number {
				t.Fatalf("version in force went from %d back to %d", before.Version.Number, after.Version.Number)
			}
			if after.Version.Number == before.Version.Number && after.Version.Digest != before.Version.Digest {
				t.Fatalf("version %d changed its content", after.Version.Number)
			}
			if kind != "good" && kind != "fork" && d.Kind == vers.Applied {
				t.Fatalf("a %s version was applied", kind)
			}
			if d.Kind == vers.Applied && after.Version.Number == before.Version.Number+1 && before.Version.Number > 0 &&
				after.Version.Parent != before.Version.Digest {
				t.Fatalf("version %d does not follow version %d", after.Version.Number, before.Version.Number)
			}
			if after.Version.Number > 0 && deploymentOf(t, after.Version) != "d" {
				t.Fatalf("document of %s is in force", deploymentOf(t, after.Version))
			}
		}
	})
}

func TestOffer(t *testing.T) {
	is := is.New(t)
	vs := versionChain(4)
	tr := vers.NewTracker(vers.DocumentConfig("d"))
	is.Equal(tr.Offer(vs[2]).Kind, vers.Applied) // any number is accepted as the first version
	is.Equal(tr.Offer(vs[2]).Kind, vers.Same)
	is.Equal(tr.Offer(vs[1]).Kind, vers.Stale)
	is.Equal(tr.OfferFromStore(vs[1]).Kind, vers.StoreRolledBack)
	other := vers.New(vs[1], "other", "y", time.Unix(9, 0), documentJSON("d", 77))
	is.Equal(tr.Offer(other).Kind, vers.Forked)
	is.Equal(tr.Offer(vers.New(other, "other", "y", time.Unix(9, 0), documentJSON("d", 78))).Kind, vers.Forked)
	is.Equal(tr.Offer(vs[3]).Kind, vers.Applied)
	_, kept := tr.ByDigest(vs[2].Digest)
	is.True(kept)

	bad := vers.New(vs[3], "op", "x", time.Unix(1, 0), []byte("{}"))
	is.Equal(tr.Offer(bad).Kind, vers.Refused)
	is.True(!tr.ShouldFetch(bad.Stamp())) // a refused version is not fetched again
	is.True(!tr.ShouldFetch(vers.Stamp{Number: bad.Number}))
	is.True(tr.ShouldFetch(vers.Stamp{Number: bad.Number + 1}))
	next := vers.New(bad, "op", "x", time.Unix(2, 0), documentJSON("d", 9))
	is.Equal(tr.Offer(next).Kind, vers.Applied) // a valid version after a refused one is applied
}
