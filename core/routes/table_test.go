package routes_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/routes"
	_ "tanagerchute/internal/seed"
)

func route(name string, destinations ...routes.Destination) *routes.Route {
	if len(destinations) == 0 {
		destinations = []routes.Destination{{Service: "s", Weight: 1}}
	}
	return &routes.Route{Name: name, Destinations: destinations}
}

func build(t *testing.T, rules ...routes.Rule) *routes.Table {
	t.Helper()
	b := routes.NewBuilder()
	for _, name := range []string{"s", "other"} {
		b.AddService(routes.Service{Name: name})
	}
	for _, r := range rules {
		if err := b.AddRule(r); err != nil {
			t.Fatal(err)
		}
	}
	return b.Build()
}

func TestMatch(t *testing.T) {
	tab := build(t,
		routes.Rule{Host: "h", Prefix: "/", Route: route("root")},
		routes.Rule{Host: "h", Prefix: "/a/", Route: route("a")},
		routes.Rule{Host: "h", Prefix: "/a/b/", Route: route("ab")},
		routes.Rule{Host: "h", Prefix: "/c", Route: route("c")},
		routes.Rule{Host: "h", Method: "POST", Prefix: "/c", Route: route("c-post")},
		routes.Rule{Host: "bare", Prefix: "/x/", Route: route("x")},
	)
	for _, c := range []struct{ host, method, path, want string }{
		{"h", "GET", "/", "root"},
		{"h", "GET", "/a", "root"},
		{"h", "GET", "/a/", "a"},
		{"h", "GET", "/a/bb", "a"},
		{"h", "GET", "/a/b/", "ab"},
		{"h", "GET", "/a/b/c/d", "ab"},
		{"h", "GET", "/c", "c"},
		{"h", "GET", "/c/1", "c"},
		{"h", "POST", "/c/1", "c-post"},
		{"h", "GET", "/cc", "root"},
		{"bare", "GET", "/x", ""},
		{"bare", "GET", "/x/y", "x"},
		{"bare", "GET", "/y", ""},
		{"none", "GET", "/", ""},
	} {
		r, ok := tab.Match(c.host, c.method, c.path)
		got := ""
		if ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s %s%s matches %q, want %q", c.method, c.host, c.path, got, c.want)
		}
	}
}

// TestMatchLongestPrefix compares the lookup with a linear scan of all rules.
func TestMatchLongestPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		path := rapid.StringMatching(`(/[ab]{0,2}){1,4}`)
		prefixes := rapid.SliceOfDistinct(path, func(s string) string { return s }).Draw(rt, "prefixes")
		b := routes.NewBuilder()
		b.AddService(routes.Service{Name: "s"})
		for _, p := range prefixes {
			if err := b.AddRule(routes.Rule{Host: "h", Prefix: p, Route: route(p)}); err != nil {
				rt.Fatal(err)
			}
		}
		requested := path.Draw(rt, "path")
		want := ""
		for _, p := range prefixes {
			atSegmentEnd := strings.HasSuffix(p, "/") || len(requested) == len(p) || len(requested) > len(p) && requested[len(p)] == '/'
			if strings.HasPrefix(requested, p) && atSegmentEnd && len(p) > len(want) {
				want = p
			}
		}
		got := ""
		if r, ok := b.Build().Match("h", "GET", requested); ok {
			got = r.Name
		}
		if got != want {
			rt.Fatalf("%s matches %q, want %q of %q", requested, got, want, prefixes)
		}
	})
}

// TestPickFollowsWeights checks that each destination of a split receives its
// share of the requests, and that one of weight 0 receives none.
func TestPickFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := route("split", routes.Destination{Service: "s", Weight: 90}, routes.Destination{Service: "other", Weight: 10}, routes.Destination{Service: "none", Weight: 0})
	got := map[string]int{}
	for n := range uint64(1000) {
		got[r.Pick(n)]++
	}
	is.Equal(got["s"], 900)
	is.Equal(got["other"], 100)
	is.Equal(got["none"], 0)
}

func TestAddRuleRejectsInvalid(t *testing.T) {
	for _, c := range []struct {
		name string
		rule routes.Rule
		want string
	}{
		{"no service", routes.Rule{Host: "h", Prefix: "/", Route: &routes.Route{Name: "r"}}, "names no service"},
		{"unknown service", routes.Rule{Host: "h", Prefix: "/", Route: route("r", routes.Destination{Service: "x", Weight: 1})}, "does not exist"},
		{"negative weight", routes.Rule{Host: "h", Prefix: "/", Route: route("r", routes.Destination{Service: "s", Weight: -1})}, "negative weight"},
		{"no slash", routes.Rule{Host: "h", Prefix: "a", Route: route("r")}, "does not start with /"},
		{"twice", routes.Rule{Host: "h", Prefix: "/twice/", Route: route("r")}, "two routes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := routes.NewBuilder()
			b.AddService(routes.Service{Name: "s"})
			if err := b.AddRule(routes.Rule{Host: "h", Prefix: "/twice/", Route: route("first")}); err != nil {
				t.Fatal(err)
			}
			err := b.AddRule(c.rule)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error is %v, want one with %q", err, c.want)
			}
		})
	}
}
