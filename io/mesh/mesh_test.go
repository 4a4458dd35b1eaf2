package mesh_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/event"
	sample "tanagerchute/examples"
	"tanagerchute/io/load"
	"tanagerchute/io/mesh"
)

func nordurljosInstances() []mesh.InstanceSpec {
	return mesh.InstanceSpecs([]string{"hafnar", "selfoss", "keflavik"}, map[string]int{"skraning": 6, "budir": 3})
}

// start starts a mesh, applies its document as version 1, and waits until all
// nodes are ready.
func start(t *testing.T, cfg mesh.Config) (*mesh.Mesh, context.Context) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 180*time.Second)
	t.Cleanup(cancel)
	m, err := mesh.New(cfg)
	is.NoErr(err)
	t.Cleanup(m.Close)
	is.NoErr(m.Start())
	_, err = m.Apply(ctx, "op-1", cfg.Document)
	is.NoErr(err)
	is.NoErr(m.WaitVersion(ctx, 1))
	is.NoErr(m.WaitReady(ctx))
	return m, ctx
}

// TestCallsThroughEveryNode sends a call to each node, and then a mix of all kinds
// of calls to all of them. None of the mix may fail. An unknown outcome does not
// count as a failure. If the environment variable EVENTS is set, it logs the events
// that the nodes record.
func TestCallsThroughEveryNode(t *testing.T) {
	is := is.New(t)
	m, ctx := start(t, mesh.Config{Document: sample.Nordurljos, Instances: nordurljosInstances(), OneWay: 3500 * time.Microsecond, Work: 2 * time.Millisecond, Linger: 500 * time.Millisecond, OnEvent: func(e event.Event) {
		if os.Getenv("EVENTS") != "" {
			t.Log(e.At.Format("05.000"), e.Node, e.Kind, e.Subject, e.Cause)
		}
	}})
	for _, addr := range m.CallerAddrs() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/places", nil)
		is.NoErr(err)
		req.Host = "skraning"
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		res.Body.Close()
		if res.StatusCode != 200 {
			b, _ := io.ReadAll(res.Body)
			t.Logf("%v %s", res.Header, b)
		}
		is.Equal(res.StatusCode, http.StatusOK)
	}
	r := load.Run(ctx, load.Config{
		Targets: m.CallerAddrs(), Rate: 300, Duration: 3 * time.Second, Seed: 1,
		Kinds: []load.Kind{
			{Name: "lookup", Service: "skraning", Method: "GET", Path: "/places", Weight: 6},
			{Name: "booking", Service: "skraning", Method: "POST", Path: "/bookings", BodyBytes: 200, Weight: 2},
			{Name: "keyed", Service: "skraning", Method: "POST", Path: "/bookings", BodyBytes: 200, Keyed: true, Weight: 2},
			{Name: "nested", Service: "skraning", Method: "GET", Path: "/x?call=budir/roster", Weight: 2},
		},
	})
	for _, k := range r.Kinds {
		t.Logf("%+v", k)
	}
	t.Log(strings.Join(m.CallerAddrs(), " "))
	is.Equal(r.Total().Failed, 0)
}
