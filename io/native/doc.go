// Package native implements the product's own dialect of HTTP headers, the
// Tanager-* headers.
//
// # Usage
//
//	var d tanagerchute.Dialect = native.Dialect{}
//	info, err := d.ParseRequest(r.Header)
//	d.WriteRefusal(w, reply)
package native
