package merge_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tanagerchute/core/config"
	"tanagerchute/core/merge"
	sample "tanagerchute/examples"
)

// replaceOnce replaces the first occurrence of old in doc.
func replaceOnce(t *testing.T, doc []byte, old, new string) []byte {
	t.Helper()
	out := bytes.Replace(doc, []byte(old), []byte(new), 1)
	if bytes.Equal(out, doc) {
		t.Fatalf("%q is not in the document", old)
	}
	return out
}

func TestRebase(t *testing.T) {
	is := is.New(t)
	base := sample.Nordurljos
	theirs := replaceOnce(t, base, `"answer_within": "800ms"`, `"answer_within": "700ms"`) // skraning
	mine := replaceOnce(t, base, `"answer_within": "400ms"`, `"answer_within": "350ms"`)   // budir

	merged, err := merge.Rebase(base, theirs, mine)
	is.NoErr(err)
	is.True(strings.Contains(string(merged), "family lookups may wait")) // comments are kept
	d, err := config.Parse("merged", merged)
	is.NoErr(err)
	old, err := config.Parse("base", base)
	is.NoErr(err)
	var lines []string
	for _, c := range merge.Diff(old, d) {
		lines = append(lines, c.String())
	}
	is.Equal(strings.Join(lines, "\n"), "~ budir.roster.answer_within: 400ms -> 350ms\n~ skraning.lookup.answer_within: 800ms -> 700ms")

	conflicting := replaceOnce(t, base, `"may_wait": "300ms"`, `"may_wait": "100ms"`) // skraning as well
	_, err = merge.Rebase(base, theirs, conflicting)
	var conflict *merge.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Services, []string{"skraning"})
}

func TestRebaseAddsAndRemovesServices(t *testing.T) {
	is := is.New(t)
	service := func(names ...string) []byte {
		var list []string
		for _, n := range names {
			list = append(list, `{"name": "`+n+`", "classes": [{"name": "c", "match": [{"path": "/"}], "answer_within": "1s", "may_wait": "0s"}]}`)
		}
		return []byte(`{"deployment": "d", "services": [` + strings.Join(list, ",") + `]}`)
	}
	merged, err := merge.Rebase(service("a", "b"), service("a", "b", "c"), service("b", "d"))
	is.NoErr(err)
	d, err := config.Parse("merged", merged)
	is.NoErr(err)
	var names []string
	for _, s := range d.Services {
		names = append(names, s.Name)
	}
	is.Equal(names, []string{"b", "c", "d"})
}
