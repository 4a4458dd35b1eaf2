// Package seed sets a fixed seed for property tests, so that all runs generate the
// same inputs. The flag -rapid.seed overrides it.
//
// # Usage
//
//	import _ "tanagerchute/internal/seed"
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed
)

// rapidSeed is the default seed of all property tests.
const rapidSeed = "20261203"

func init() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		if err := f.Value.Set(rapidSeed); err != nil {
			panic(err)
		}
	}
}
