// Package seed fixes the seed of property tests, so that each run gives the
// same verdict. The flag -rapid.seed overrides it.
//
// # Usage
//
//	import _ "tanagerchute/internal/seed"
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// value is the seed of all property tests.
const value = "20261203"

func init() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
}
