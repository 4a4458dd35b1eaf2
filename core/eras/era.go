package eras

import (
	"fmt"
	"strconv"
)

// Era identifies the time between two restarts of a store from older copies. The zero
// Era is unknown: the store has not named any. Eras are comparable with ==.
type Era struct {
	number uint64
	known  bool
}

// New returns the era with the given number.
func New(number uint64) Era { return Era{number, true} }

// Parse parses the number of an era, in decimal digits.
func Parse(s string) (Era, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return Era{}, fmt.Errorf("era %.40q is not a whole number", s)
	}
	return New(n), nil
}

// Known reports whether e is not the unknown era.
func (e Era) Known() bool { return e.known }

// String returns the number of e.
func (e Era) String() string {
	if !e.known {
		return "unknown"
	}
	return strconv.FormatUint(e.number, 10)
}

// Differ reports whether a and b are known and not the same, so that revisions and
// leases of one mean nothing in the other.
func Differ(a, b Era) bool { return a.known && b.known && a != b }
