package config_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/config"
	"tanagerchute/core/errs"
	"tanagerchute/core/routes"
	sample "tanagerchute/examples"
)

// TestFindingsHavePositions checks that Parse reports all findings of a document
// in the order of their positions.
func TestFindingsHavePositions(t *testing.T) {
	is := is.New(t)
	_, err := config.Parse("mesh.jsonc", []byte(`{
  "deployment": "x",
  "weights": {"a": 1}, // not ours to say
  "services": [
    {"name": "s", "address": "10.0.0.1", "classes": [
      {"name": "c", "match": [{"path": "/"}], "answer_within": 5, "may_wait": "soon", "at_most_once": "yes"},
    ]},
    {"name": "t", "name": "u", "classes": {}},
  ],
}`))
	var list *errs.Error
	is.True(errors.As(err, &list))
	want := []string{
		`mesh.jsonc:3:3: weights: is not a known field`,
		`mesh.jsonc:5:19: services.0.address: is not a known field`,
		`mesh.jsonc:6:64: services.0.classes.0.answer_within: is 5, but a string is wanted`,
		`mesh.jsonc:6:79: services.0.classes.0.may_wait: "soon" is not a duration`,
		`mesh.jsonc:6:103: services.0.classes.0.at_most_once: is "yes", but true or false is wanted`,
		`mesh.jsonc:8:19: services.1.name: appears twice`,
		`mesh.jsonc:8:43: services.1.classes: is an object, but a list is wanted`,
	}
	lines := strings.Split(err.Error(), "\n")
	is.Equal(len(lines), len(want))
	for i := range min(len(lines), len(want)) {
		if !strings.HasPrefix(lines[i], want[i]) {
			t.Errorf("finding %d:\n got %s\nwant %s", i, lines[i], want[i])
		}
	}
}

// TestUndecodableValueDoesNotHideFindings checks that a value which can't be
// decoded does not hide the findings about other values, and that it is reported
// only once. Its zero value in the struct must not be validated.
func TestUndecodableValueDoesNotHideFindings(t *testing.T) {
	is := is.New(t)
	_, err := config.Parse("mesh.jsonc", []byte(`{
  "deployment": "x",
  "services": [
    {"name": "s", "classes": [
      {"name": "a", "match": [{"path": "/"}], "answer_within": "5 parsecs", "may_wait": "-1s"},
      {"name": "b", "match": [{"path": "x"}, 7], "answer_within": "1s", "may_wait": "2s"},
    ]},
  ],
}`))
	is.True(err != nil)
	lines := strings.Split(err.Error(), "\n")
	for i, want := range []string{
		`services.0.classes.0.answer_within: "5 parsecs" is not a duration`,
		`services.0.classes.0.may_wait: must be between 0 and answer_within`,
		`services.0.classes.1.match.0.path: "x" does not start with /`,
		`services.0.classes.1.match.1: is 7, but an object is wanted`,
		`services.0.classes.1.may_wait: must be between 0 and answer_within`,
	} {
		if i >= len(lines) || !strings.Contains(lines[i], want) {
			t.Errorf("finding %d is not %q in:\n%v", i, want, err)
		}
	}
	is.Equal(len(lines), 5)
}

// TestParseDoesNotModifyInput checks that Parse leaves its input unchanged. The
// input is stored as its author wrote it, comments included, but hujson overwrites
// comments in the bytes that it has parsed.
func TestParseDoesNotModifyInput(t *testing.T) {
	is := is.New(t)
	data := bytes.Clone(sample.Nordurljos)
	_, err := config.Parse("mesh.jsonc", data)
	is.NoErr(err)
	is.True(bytes.Equal(data, sample.Nordurljos))
}

func TestParseRejectsInvalid(t *testing.T) {
	const head = `{"deployment": "x", "services": [`
	const class = `{"name": "c", "match": [{"path": "/"}], "answer_within": "1s", "may_wait": "0s"}`
	for _, c := range []struct{ name, doc, want string }{
		{"no services", head + `]}`, "lists no service"},
		{"bad name", head + `{"name": "S!", "classes": [` + class + `]}]}`, "is not a name"},
		{"same service", head + `{"name": "s", "classes": [` + class + `]}, {"name": "s", "classes": [` + class + `]}]}`, "appears twice"},
		{"unknown call", head + `{"name": "s", "calls": ["t"], "classes": [` + class + `]}]}`, `service "t" does not exist`},
		{"no deadline", head + `{"name": "s", "classes": [{"name": "c", "match": [{"path": "/"}], "may_wait": "0s"}]}]}`, "must be over 0"},
		{"waits too long", head + `{"name": "s", "classes": [{"name": "c", "match": [{"path": "/"}], "answer_within": "1s", "may_wait": "2s"}]}]}`, "between 0 and answer_within"},
		{"no match", head + `{"name": "s", "classes": [{"name": "c", "match": [], "answer_within": "1s"}]}]}`, "lists no match"},
		{"bad method", head + `{"name": "s", "classes": [{"name": "c", "match": [{"method": "get", "path": "/"}], "answer_within": "1s"}]}]}`, "is not one of"},
		{"bad path", head + `{"name": "s", "classes": [{"name": "c", "match": [{"path": "x"}], "answer_within": "1s"}]}]}`, "does not start with /"},
		{"same match", head + `{"name": "s", "classes": [{"name": "c", "match": [{"path": "/"}, {"path": "/"}], "answer_within": "1s"}]}]}`, "is the same as a match"},
		{"not JSON", `{"deployment": `, "mesh.jsonc:1"},
		{"too large", strings.Repeat(" ", config.MaxDocumentBytes+1), "more than the limit"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.Parse("mesh.jsonc", []byte(c.doc))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // finding
		})
	}
}

// TestCompile checks that the table of a document matches a call to its class by
// method and path prefix, with the priority and timeout of the class.
func TestCompile(t *testing.T) {
	is := is.New(t)
	d, err := config.Parse("mesh.jsonc", sample.Association)
	is.NoErr(err)
	compiled, err := d.Compile()
	is.NoErr(err)
	for _, c := range []struct {
		method, path, class string
		priority            routes.Priority
	}{
		{"POST", "/sign-offs", "sign-off", config.PriorityAtMostOnce},
		{"POST", "/sign-offs/17", "sign-off", config.PriorityAtMostOnce},
		{"POST", "/sign-offsx", "", 0},
		{"GET", "/templates/close", "template", config.PriorityLatencySensitive},
		{"GET", "/status", "status", config.PriorityDelayTolerant},
	} {
		r, ok := compiled.Match("checklist", c.method, c.path)
		is.Equal(ok, c.class != "")
		if ok {
			is.Equal(r.Name, c.class)
			is.Equal(r.Priority, c.priority)
		}
	}
	_, ok := compiled.Match("nobody", "GET", "/")
	is.True(!ok)
	is.True(!compiled.HasHost("nobody"))
	is.True(compiled.MayCall("checklist", "docvault"))
	is.True(!compiled.MayCall("docvault", "checklist"))
	r, ok := compiled.Match("checklist", "GET", "/templates")
	is.True(ok)
	is.Equal(r.Timeout, 250*time.Millisecond)
}

// FuzzParse checks that no input crashes the parser, and that a document which
// it accepts satisfies the rules for classes.
func FuzzParse(f *testing.F) {
	f.Add(sample.Nordurljos)
	f.Add(sample.Association)
	f.Add([]byte(`{"deployment":"x","services":[{"name":"s","classes":[]}]}`))
	f.Add([]byte(`{/*`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := config.Parse("fuzz", data)
		if err != nil {
			return
		}
		for _, s := range d.Services {
			for _, c := range s.Classes {
				if c.AnswerWithin <= 0 || c.MayWait > c.AnswerWithin || len(c.Match) == 0 {
					t.Fatalf("class %+v was accepted", c)
				}
			}
		}
	})
}
