package jsonc_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"tanagerchute/core/jsonc"
)

// TestDeepDocumentIsAnError guards against a document that another writer left in the store,
// nested so deeply that each process which parses it ends.
func TestDeepDocumentIsAnError(t *testing.T) {
	is := is.New(t)
	for _, open := range []string{"[", `{"a":`, "[[]/* ] */,"} {
		var dst struct {
			A any `json:"a"`
		}
		_, err := jsonc.Decode("mesh.jsonc", []byte(`{"a":`+strings.Repeat(open, 1<<20)), &dst)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "nested more than 64 deep"))
		is.True(strings.Contains(err.Error(), "mesh.jsonc:1:"))
	}
}

// TestBracketsThatDontNest checks that brackets in strings and comments don't count.
func TestBracketsThatDontNest(t *testing.T) {
	many := strings.Repeat("[{", 100)
	for _, doc := range []string{
		`{"a": "` + many + `"}`, `{"a": "\"` + many + `\\"}`, "{// " + many + "\n" + `"a": 1}`, "{/* " + many + "/ * */" + `"a": 1}`, `{"a": 1} /**/`,
		strings.Repeat("[", 64) + strings.Repeat("]", 64),
	} {
		if _, err := jsonc.Parse([]byte(doc)); err != nil {
			t.Errorf("%.40s: %v", doc, err)
		}
	}
	for _, doc := range []string{"", "/", "/*", "/*/", `"`, `"\`, "//", strings.Repeat("[", 65) + strings.Repeat("]", 65)} {
		if _, err := jsonc.Parse([]byte(doc)); err == nil {
			t.Errorf("%.40s: no error", doc)
		}
	}
}
