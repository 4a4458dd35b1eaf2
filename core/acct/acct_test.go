package acct

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "tanagerchute/internal/seed"
)

// source returns the definition of an account with the given keys.
func source(name string, keys ...string) Source {
	return Source{Content: fmt.Sprintf("%s %q", name, keys), Decode: func() (*Spec, []Problem) {
		digests, problems := DigestKeys(keys)
		return &Spec{Account: Account{Name: name}, Keys: digests}, problems
	}}
}

// TestCompilerFollowsVersions compares the directories of a series of versions, some of
// them invalid, with directories that are built anew.
func TestCompilerFollowsVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Compiler
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		keys := rapid.SampledFrom([]string{"", "k1", "k2", "k3", "k4", "k5", "k6"})
		for range rapid.IntRange(1, 8).Draw(t, "versions") {
			var sources []Source
			want := map[string]string{} // account by key
			for range rapid.IntRange(0, 4).Draw(t, "accounts") {
				name, ks := names.Draw(t, "name"), rapid.SliceOfN(keys, 0, 3).Draw(t, "keys")
				sources = append(sources, source(name, ks...))
				for _, k := range ks {
					want[k] = name
				}
			}
			var anew Compiler
			fresh, freshFindings := anew.Compile(sources)
			got, findings := c.Compile(sources)
			if len(findings) != len(freshFindings) {
				t.Fatalf("findings %v, anew %v", findings, freshFindings)
			}
			if len(findings) > 0 {
				continue
			}
			if got.Len() != fresh.Len() {
				t.Fatalf("%d accounts, anew %d", got.Len(), fresh.Len())
			}
			for _, k := range []string{"", "k1", "k2", "k3", "k4", "k5", "k6"} {
				a, ok := got.Find(DigestOf(k))
				if ok != (want[k] != "") || ok && a.Name != want[k] {
					t.Fatalf("key %q: %v, want account %q", k, a, want[k])
				}
			}
		}
	})
}

// manySources returns n accounts with four keys each.
func manySources(n int) []Source {
	out := make([]Source, n)
	for i := range out {
		name := fmt.Sprint("account-", i)
		out[i] = source(name, name+"-a", name+"-b", name+"-c", name+"-d")
	}
	return out
}

// TestUnchangedAccountsAreReused checks that a version that changes one of 5,000
// accounts with 20,000 keys decodes only that one, and that a version that changes none
// has the same directory.
func TestUnchangedAccountsAreReused(t *testing.T) {
	is := is.New(t)
	var c Compiler
	sources := manySources(5000)
	first, findings := c.Compile(sources)
	is.Equal(len(findings), 0)
	is.Equal(c.decoded, 5000)
	second, _ := c.Compile(slices.Clone(sources))
	is.True(first == second)
	is.Equal(c.decoded, 5000)
	sources[7] = source("account-7", "new")
	third, _ := c.Compile(sources)
	is.Equal(c.decoded, 5001)
	_, old := third.Find(DigestOf("account-7-a"))
	a, ok := third.Find(DigestOf("new"))
	is.True(!old && ok && a.Name == "account-7")
	_, still := first.Find(DigestOf("account-7-a")) // the directory before has not changed
	is.True(still)
}

// BenchmarkCompile compares versions of 5,000 accounts with 20,000 keys.
func BenchmarkCompile(b *testing.B) {
	sources := manySources(5000)
	b.Run("anew", func(b *testing.B) {
		for b.Loop() {
			var c Compiler
			c.Compile(sources)
		}
	})
	b.Run("unchanged", func(b *testing.B) {
		var c Compiler
		for b.Loop() {
			c.Compile(sources)
		}
	})
	b.Run("one account changed", func(b *testing.B) {
		var c Compiler
		versions := [][]Source{sources, slices.Clone(sources)}
		versions[1][7] = source("account-7", "new")
		for i := 0; b.Loop(); i++ {
			c.Compile(versions[i%2])
		}
	})
}

// TestFindingsDoNotDependOnVersionBefore guards against findings that name the accounts
// which the version before did not have, in place of those that stand later in the document.
func TestFindingsDoNotDependOnVersionBefore(t *testing.T) {
	is := is.New(t)
	var c, anew Compiler
	_, findings := c.Compile([]Source{source("a"), source("b", "k4")})
	is.Equal(len(findings), 0)
	invalid := []Source{source("a", "k4"), source("a"), source("a"), source("b", "k4")}
	_, findings = c.Compile(invalid)
	_, want := anew.Compile(invalid)
	is.Equal(findings, want)
}
