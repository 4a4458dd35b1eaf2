// Package jsonc decodes JSON with comments into Go structs and reports every
// unknown field, duplicate field and wrong type with its line and column.
//
// The syntax is read by the hujson library; this package only compares the
// syntax tree with the struct's type, so that all findings of a document come
// out of one pass, where encoding/json stops at the first.
//
// # Usage
//
//	var d config.Document
//	c, err := jsonc.Decode("mesh.jsonc", data, &d)
//	c.Add("services.0.name", "is empty")
//	err = c.Err()
//
// Durations are the type Duration: strings with units, such as "250ms".
package jsonc
