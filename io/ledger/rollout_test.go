package ledger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/canary"
	"tanagerchute/io/ledger"
)

// TestRolloutFormat checks that an order is read as it was written, and that a malformed one
// is refused.
func TestRolloutFormat(t *testing.T) {
	is := is.New(t)
	f := ledger.RolloutFormat{Deployment: "nordurljos"}
	want := canary.Request{Service: "skraning", Target: "v2", Within: time.Minute}
	key, value, err := f.FormatOrder(want)
	is.NoErr(err)
	got, err := f.ParseOrder(key, value)
	is.NoErr(err)
	is.Equal(got, want)
	for _, bad := range []string{`{`, `{}`, `{"target_version":"v2","complete_within":"-1s"}`} {
		_, err := f.ParseOrder(key, []byte(bad))
		is.True(err != nil)
	}
	_, _, err = f.FormatOrder(canary.Request{Within: -1})
	is.True(err != nil)
}
