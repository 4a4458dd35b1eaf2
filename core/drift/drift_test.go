package drift_test

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/drift"
)

var shared = map[string]string{"drain.linger": "2.5s", "limits.retry_share": "0.1", "name": "vik-1", "listen.peers": "10.0.0.1:1"}

func with(key, value string) map[string]string {
	out := maps.Clone(shared)
	out[key] = value
	return out
}

// TestDigest checks that the digest changes with what should be the same at all
// nodes, and only with that.
func TestDigest(t *testing.T) {
	base := drift.NewSettings(shared).Digest()
	for _, c := range []struct {
		name   string
		values map[string]string
		same   bool
	}{
		{"equal", maps.Clone(shared), true},
		{"another instance", with("name", "vik-2"), true},
		{"another address", with("listen.peers", "10.0.0.2:1"), true},
		{"another limit", with("limits.retry_share", "0.2"), false},
		{"a further key", with("hedge", "true"), false},
		{"a key that only begins like an instance key", with("listener", "x"), false},
	} {
		if got := drift.NewSettings(c.values).Digest() == base; got != c.same {
			t.Errorf("%s: same digest %v, want %v", c.name, got, c.same)
		}
	}
}

// TestDiff checks that every differing key is listed, and which are expected to
// differ.
func TestDiff(t *testing.T) {
	is := is.New(t)
	b := with("name", "vik-2")
	b["limits.retry_share"] = "0.2"
	delete(b, "drain.linger")
	is.Equal(drift.Diff(drift.NewSettings(shared), drift.NewSettings(b)), []drift.Change{
		{Key: "drain.linger", Old: "2.5s"},
		{Key: "limits.retry_share", Old: "0.1", New: "0.2"},
		{Key: "name", Old: "vik-1", New: "vik-2", Instance: true},
	})
}

// TestGroupNodes groups a fleet in which one data centre has missed a change.
func TestGroupNodes(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_800_000_000, 0)
	var nodes []drift.Node
	for i, name := range []string{"selfoss-1", "selfoss-2", "hafnar-1"} {
		centre := name[:len(name)-2]
		nodes = append(nodes, drift.Node{Name: name, DataCentre: centre, Version: 7, Digest: "b", Build: "v1", LoadedAt: at.Add(time.Duration(i) * time.Second)})
	}
	is.True(drift.Uniform(nodes))
	nodes = append(nodes, drift.Node{Name: "vik-1", DataCentre: "vik", Version: 7, Digest: "a", Build: "v1", LoadedAt: at.Add(-time.Hour)})
	is.True(!drift.Uniform(nodes))
	groups := drift.GroupNodes(nodes)
	is.Equal(len(groups), 2)
	is.Equal(groups[0].Centres, map[string]int{"selfoss": 2, "hafnar": 1})
	is.Equal(groups[0].Since, at)
	is.Equal(groups[1].Names, []string{"vik-1"})
	nodes = nodes[:3]
	nodes[0].Pending = "limits: must not be negative"
	is.True(!drift.Uniform(nodes)) // pending settings count as a difference
}
