package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"tanagerchute/core/event"
	"tanagerchute/io/node"
	"tanagerchute/io/setup"
)

const reloadSettings = `{
  "name": "hafnar-1", "deployment": "nordurljos", "data_centre": "hafnar", "data_centres": ["hafnar"], "service": "skraning",
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "egress": "127.0.0.1:3", "admin": "127.0.0.1:4"},
  "seeds": {"hafnar": ["127.0.0.1:2"]},
  "drain": {"linger": "1s"},
}`

// TestReloadSettings reloads settings on SIGHUP and after a change of the file. A
// setting that can change at runtime must be in force at once. Any other changed
// setting must be reported to take effect at the next start. Settings that are not
// valid must be refused as a whole.
func TestReloadSettings(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "node.jsonc")
	write := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write(reloadSettings)
	r := newReloader(file, setup.ReadNode)
	s, err := setup.ReadNode(file)
	is.NoErr(err)
	events := make(chan event.Event, 16)
	n, err := node.New(node.Config{Settings: s, Log: zap.NewNop(), OnEvent: func(e event.Event) { events <- e }})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.run(ctx, n)
	for _, c := range []struct {
		name   string
		text   string
		signal bool
		kind   event.Kind
		cause  string
	}{
		{"signal without a change", reloadSettings, true, event.NodeReloaded, "in force"},
		{"changed linger of the planned stop", strings.Replace(reloadSettings, `"1s"`, `"2s"`, 1), true, event.NodeReloaded, "in force"},
		{"changed address", strings.Replace(reloadSettings, "127.0.0.1:3", "127.0.0.1:5", 1), true, event.NodeReloaded, "at the next start: listen"},
		{"changed address and linger", strings.NewReplacer("127.0.0.1:3", "127.0.0.1:5", `"1s"`, `"3s"`).Replace(reloadSettings), true, event.NodeReloaded, "all changes take effect at the next start: listen"},
		{"not valid", `{"name": "X"}`, true, event.ReloadRefused, "is not a name"},
		{"changed without a signal", reloadSettings, false, event.NodeReloaded, "in force"},
	} {
		write(c.text)
		if c.signal {
			is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
		}
		select {
		case e := <-events:
			if e.Kind != c.kind || !strings.Contains(e.Cause, c.cause) {
				t.Errorf("%s: %s %q, want %s %q", c.name, e.Kind, e.Cause, c.kind, c.cause)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: no event was recorded", c.name)
		}
	}
}
