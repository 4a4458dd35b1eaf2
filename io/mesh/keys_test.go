package mesh_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	sample "tanagerchute/examples"
	"tanagerchute/io/mesh"
)

// revokeWithin is the time within which withdrawn keys must end in these tests.
const revokeWithin = 3 * time.Second

// documentWithKeys returns the sample document with one client account.
func documentWithKeys(keys string) []byte {
	return bytes.Replace(sample.Nordurljos, []byte(`"services": [`), []byte(`"accounts": [{"name": "stofa", "keys": `+keys+`}], "services": [`), 1)
}

// callWithKey sends a call with a key, or without one if it is empty.
func callWithKey(t *testing.T, ctx context.Context, addr, key string) (status int, cause string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/places", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "skraning"
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	return res.StatusCode, res.Header.Get("Tanager-Cause")
}

// TestWithdrawnKeyEndsBehindCut withdraws a key while a data centre is cut off from the
// store, or from the store and all others. No node serves the key after the bound.
func TestWithdrawnKeyEndsBehindCut(t *testing.T) {
	for _, c := range []struct {
		name      string
		isolation mesh.Isolation
		served    bool // whether the nodes that are cut off go on serving the other key
	}{
		{"from the store", mesh.Isolation{Store: true}, true},
		{"from both", mesh.Isolation{Store: true, OtherDataCentres: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cfg := smallConfig()
			cfg.RevokeWithin = revokeWithin
			m, ctx := start(t, cfg)
			number, err := m.Apply(ctx, "op-2", documentWithKeys(`["old", "kept"]`))
			is.NoErr(err)
			is.NoErr(m.WaitVersion(ctx, number))
			for _, in := range m.Instances {
				awaitKey(t, ctx, in, "old", http.StatusOK, revokeWithin)
			}
			status, _ := callWithKey(t, ctx, m.Instances[0].Settings.Listen.Callers, "")
			is.Equal(status, http.StatusUnauthorized) // callers have a listener of their own
			status, _ = callWithKey(t, ctx, m.Instances[0].Settings.Listen.Egress, "")
			is.True(status != http.StatusUnauthorized) // calls of the backend server need no key
			const centre = "selfoss"
			m.Isolate(centre, c.isolation)
			_, err = m.Apply(ctx, "op-3", documentWithKeys(`["kept"]`))
			is.NoErr(err)
			withdrawn := time.Now()
			for _, in := range m.Instances {
				if in.Spec.DataCentre != centre {
					awaitKey(t, ctx, in, "old", http.StatusUnauthorized, time.Second)
				}
			}
			for time.Since(withdrawn) < revokeWithin+time.Second {
				for _, in := range m.Instances {
					sentAt := time.Now()
					if status, _ := callWithKey(t, ctx, in.Settings.Listen.Callers, "old"); status == http.StatusOK {
						is.True(sentAt.Sub(withdrawn) < revokeWithin)
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			for _, in := range m.Instances {
				status, cause := callWithKey(t, ctx, in.Settings.Listen.Callers, "kept")
				refused := in.Spec.DataCentre == centre && !c.served
				is.Equal(status == http.StatusOK, !refused)
				is.Equal(cause == "keys_unproved", refused)
			}
			m.Isolate(centre, mesh.Isolation{})
			for _, in := range m.Instances {
				awaitKey(t, ctx, in, "kept", http.StatusOK, maxPropagationTime)
				awaitKey(t, ctx, in, "old", http.StatusUnauthorized, maxPropagationTime)
			}
		})
	}
}

// awaitKey waits until a call with a key is answered with a status.
func awaitKey(t *testing.T, ctx context.Context, in *mesh.Instance, key string, want int, timeout time.Duration) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		status, cause := callWithKey(t, ctx, in.Settings.Listen.Callers, key)
		if status == want {
			return
		}
		if time.Since(began) > timeout {
			t.Fatalf("%s: status %d %s with key %q, want %d", in.Spec.Name, status, cause, key, want)
		}
	}
}
