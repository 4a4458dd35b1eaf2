package procs

import (
	"fmt"
	"sync"
	"sync/atomic"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// tallyToxic counts the bytes that arrive at a proxy and passes them on. It precedes
// the faults of the proxy, so that it shows whether they have met any data.
type tallyToxic struct {
	Proxy string `json:"proxy"` // listening address
}

// tallies holds the number of bytes by the listening address of a proxy, each an
// *atomic.Int64. Toxiproxy copies toxics, so they can't hold the counter.
var tallies sync.Map

func init() { toxics.Register("tally", new(tallyToxic)) }

// Pipe implements toxics.Toxic.
func (t *tallyToxic) Pipe(stub *toxics.ToxicStub) {
	n := tally(t.Proxy)
	for {
		select {
		case <-stub.Interrupt:
			return
		case c := <-stub.Input:
			if c == nil {
				stub.Close()
				return
			}
			n.Add(int64(len(c.Data)))
			stub.Output <- c
		}
	}
}

func tally(listen string) *atomic.Int64 {
	n, _ := tallies.LoadOrStore(listen, new(atomic.Int64))
	return n.(*atomic.Int64)
}

// addTally makes a proxy count its bytes in both directions.
func addTally(p *toxiproxy.Proxy) error {
	for _, stream := range []string{"upstream", "downstream"} {
		err := AddToxic(p, fmt.Sprintf(`{"name": "tally-%s", "type": "tally", "stream": %q, "attributes": {"proxy": %q}}`, stream, stream, p.Listen))
		if err != nil {
			return err
		}
	}
	return nil
}

// Bytes returns the number of bytes that have arrived at a proxy from both sides.
func Bytes(p *toxiproxy.Proxy) int64 { return tally(p.Listen).Load() }
