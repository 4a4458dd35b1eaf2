// Package face implements tanagerchute.Dialect with the Tanager-* headers.
//
// # Usage
//
//	var d tanagerchute.Dialect = face.Native{}
//	info, err := d.ParseRequest(r.Header)
//	d.WriteRefusal(w, reply)
package face
