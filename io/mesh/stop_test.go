package mesh_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/mesh"
)

// patientDocument has calls that may run longer than the linger time of a stop.
const patientDocument = `{
  "deployment": "nordurljos",
  "services": [{
    "name": "skraning", "calls": ["skraning"],
    "classes": [{"name": "lookup", "match": [{"path": "/"}], "answer_within": "9s", "may_wait": "2s"}],
  }, {
    "name": "budir", "calls": ["skraning"],
    "classes": [{"name": "lookup", "match": [{"path": "/"}], "answer_within": "9s", "may_wait": "2s"}],
  }],
}`

// TestStoppingEntryNodeAwaitsCalls guards against a planned stop of an entry node that
// cuts the calls of another data centre which run at upstreams beside it. All nodes of the
// data centre stop but the one whose server works; if the call came in there, nothing is
// at stake.
func TestStoppingEntryNodeAwaitsCalls(t *testing.T) {
	is := is.New(t)
	m, ctx := start(t, mesh.Config{
		Document: []byte(patientDocument), OneWay: time.Millisecond, Work: 5 * time.Millisecond, Linger: 500 * time.Millisecond, NoHedge: true,
		Instances: []mesh.InstanceSpec{
			{Name: "a1", DataCentre: "hafnar", Service: "budir"},
			{Name: "b1", DataCentre: "selfoss", Service: "skraning"}, {Name: "b2", DataCentre: "selfoss", Service: "skraning"},
			{Name: "b3", DataCentre: "selfoss", Service: "skraning"}, {Name: "b4", DataCentre: "selfoss", Service: "skraning"},
		},
	})
	time.Sleep(3 * time.Second)
	const path = "/places?work=3s"
	status := make(chan int, 1)
	go func() {
		s, _ := call(t, ctx, m.Instances[0], "POST", "skraning", path, "")
		status <- s
	}()
	time.Sleep(500 * time.Millisecond)
	for i, in := range m.Instances[1:] {
		if len(in.Backend.Ledger()) == 0 {
			go m.Stop(1 + i)
		}
	}
	is.Equal(<-status, http.StatusOK)
}
