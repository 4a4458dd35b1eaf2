// Package source reads a configuration that another system writes and versions.
// One key of the store holds the newest document, which contains its own version
// number. Numbers increase, but not always by one. Earlier versions can't be read.
//
// # Usage
//
//	s := source.New(source.Config{Store: store, Key: "config/current", ParseNumber: parseNumber})
//	head, err := s.Head(ctx, nil)
package source
