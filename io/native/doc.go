// Package native implements tanagerchute.Dialect with the product's own HTTP
// headers, Tanager-*.
//
// # Usage
//
//	var d tanagerchute.Dialect = native.Dialect{}
//	info, err := d.ParseRequest(r.Header)
//	d.WriteRefusal(w, reply)
package native
