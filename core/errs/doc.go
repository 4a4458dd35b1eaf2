// Package errs collects findings about a document with their positions, and
// reports all of them in one error.
//
// # Usage
//
//	var l errs.List
//	l.Add(pos, "services.skraning.calls", "service %q does not exist", name)
//	return l.Err()
//
// The error lists the findings sorted by file, line and column, so that the same
// document always gives the same text.
package errs
