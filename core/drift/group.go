package drift

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Node is what one node reports about its configuration.
type Node struct {
	Name       string
	DataCentre string
	Version    uint64    // of the configuration in force
	Digest     string    // of its settings
	Build      string    // version of its program
	LoadedAt   time.Time // when its settings came into force
	Pending    string    // why its settings file differs from what is in force, or empty
}

// Group is a set of nodes that run the same build with the same version and the
// same settings.
type Group struct {
	Version uint64         `json:"version"`
	Digest  string         `json:"settings"`
	Build   string         `json:"build"`
	Count   int            `json:"nodes"`
	Centres map[string]int `json:"data_centres"` // number of nodes by data centre
	Since   time.Time      `json:"since"`        // when the first of them loaded the settings
	Names   []string       `json:"names"`        // sorted
}

// GroupNodes groups nodes by what they run. The largest group comes first.
func GroupNodes(nodes []Node) []Group {
	type key struct {
		version       uint64
		digest, build string
	}
	byKey := map[key]*Group{}
	for _, n := range nodes {
		k := key{n.Version, n.Digest, n.Build}
		g, ok := byKey[k]
		if !ok {
			g = &Group{Version: n.Version, Digest: n.Digest, Build: n.Build, Centres: map[string]int{}, Since: n.LoadedAt}
			byKey[k] = g
		}
		g.Count++
		g.Centres[n.DataCentre]++
		g.Names = append(g.Names, n.Name)
		if n.LoadedAt.Before(g.Since) {
			g.Since = n.LoadedAt
		}
	}
	var out []Group
	for _, g := range byKey {
		slices.Sort(g.Names)
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(b.Version, a.Version), strings.Compare(a.Digest, b.Digest), strings.Compare(a.Build, b.Build))
	})
	return out
}

// Uniform reports whether all nodes run the same and none has pending settings.
func Uniform(nodes []Node) bool {
	pending := slices.ContainsFunc(nodes, func(n Node) bool { return n.Pending != "" })
	return !pending && len(GroupNodes(nodes)) <= 1
}
