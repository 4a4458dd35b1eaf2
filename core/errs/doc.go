// Package errs collects findings about a document, each with its place, and
// reports all of them together in one error.
//
// # Usage
//
//	var l errs.List
//	l.Add(pos, "services.skraning.calls", "service %q does not exist", name)
//	return l.Err()
//
// A List is sorted by file, line and column when it is turned into an error,
// so that two runs over the same document print the same text.
package errs
