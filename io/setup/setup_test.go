package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/setup"
)

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "node.jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestReportsAllFindings guards against errors that name only the first of
// several invalid settings.
func TestReportsAllFindings(t *testing.T) {
	is := is.New(t)
	_, err := setup.ReadNode(writeSettings(t, `{
  "name": "Bad Name",
  "deployment": "d",
  "data_centre": "oslo",
  "data_centres": ["hafnar", "hafnar"],
  "service": "s",
  "listen": {"callers": "localhost:1", "peers": "127.0.0.1:2", "egress": "10.0.0.1:3", "admin": "127.0.0.1:4"},
  "log": "loud",
  "trace": {"otlp": "http://x", "file": "y", "sample": 2},
}`))
	is.True(err != nil)
	for _, want := range []string{
		`name: "Bad Name" is not a name`,
		`does not list the data centre of this node "oslo"`,
		`lists "hafnar" twice`,
		`listen.callers: "localhost:1" is not an IP number`,
		`listen.egress: "10.0.0.1:3" is not a loopback address`,
		`store: is missing`,
		`log: "loud" is not`,
		`names both a collector and a file`,
		`trace.sample: must be between`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("finding %q is missing in:\n%v", want, err)
		}
	}
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	nodes, err := filepath.Glob("../../examples/nordurljos/node-*.jsonc")
	is.NoErr(err)
	is.Equal(len(nodes), 9)
	for _, file := range nodes {
		n, err := setup.ReadNode(file)
		is.NoErr(err)
		is.Equal(n.Drain.Timeout.Std(), 30*time.Second) // the default
	}
	upstreams, err := filepath.Glob("../../examples/nordurljos/upstream-*.jsonc")
	is.NoErr(err)
	is.Equal(len(upstreams), 9)
	for _, file := range upstreams {
		_, err := setup.ReadUpstream(file)
		is.NoErr(err)
	}
}

// FuzzReadNode checks that no settings file makes ReadNode panic.
func FuzzReadNode(f *testing.F) {
	f.Add(`{"name": "a", "listen": {"callers": "127.0.0.1:1"}}`)
	f.Add(`{"seeds": {"x": []}, "drain": {"timeout": "-1s"}}`)
	f.Fuzz(func(t *testing.T, text string) {
		n, err := setup.ReadNode(writeSettings(t, text))
		if err == nil && n.Name == "" {
			t.Fatal("ReadNode accepted settings without a name")
		}
	})
}
