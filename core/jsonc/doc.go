// Package jsonc decodes JSON with comments into Go structs and reports every
// unknown field, duplicate field and wrong type with its line and column.
//
// The hujson library parses the syntax. This package compares the syntax tree
// with the type of the struct and reports all findings of a document in one pass,
// while encoding/json stops at the first error.
//
// # Usage
//
//	var d config.Document
//	findings, err := jsonc.Decode("mesh.jsonc", data, &d)
//	findings.Add("services.0.name", "is empty")
//	err = findings.Err()
//
// Fields of type Duration are strings with a unit, such as "250ms".
package jsonc
