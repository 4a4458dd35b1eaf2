package tokens_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/acct"
)

// TestSilentKeeperIsBridged checks that accounts below their quota are served while the
// process that has their tokens does not answer and is not suspected yet.
func TestSilentKeeperIsBridged(t *testing.T) {
	is := is.New(t)
	quotas := map[string]acct.Quota{"large": {Rate: 100, Burst: 100}, "small": {Rate: 3, Burst: 3}}
	f := newFleet(20, 1, quotas)
	f.run(5 * time.Second)
	for account := range quotas {
		f.load(account, 2, instances(0, 20), 0, 4*time.Second)
	}
	f.run(2 * time.Second)
	for i, p := range f.nodes {
		if p.keeper.Keeps("large") || p.keeper.Keeps("small") {
			f.kill(i, 10*time.Second)
		}
	}
	f.run(2 * time.Second)
	for account := range quotas {
		granted, refused := f.served(account)
		t.Log(account, granted, refused)
		is.Equal(refused, 0)
	}
}
