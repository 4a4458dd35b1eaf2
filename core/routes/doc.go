// Package routes holds the routing table that a configuration document compiles
// to. It maps a request to the service that answers it and to the limits and
// guarantees of its route.
//
// A document of any format compiles to one Table. A Table is immutable. A node
// replaces the whole table when another version of the configuration comes into
// force, and a request keeps the table that it started with, so one version
// routes it from start to end. A lookup reads a few map entries for each segment
// of the path, whatever the number of routes.
//
// # Usage
//
//	b := routes.NewBuilder()
//	err := b.AddRule(routes.Rule{Host: "skraning", Prefix: "/bookings", Route: route})
//	t := b.Build()
//	route, ok := t.Match("skraning", "POST", "/bookings/17")
//	service := route.Pick(rng.Uint64())
package routes
