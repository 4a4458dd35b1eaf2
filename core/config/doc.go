// Package config defines the configuration document that operators write: the
// services of a deployment, the classes of work of each service, and the targets
// of each class.
//
// A document is declarative. It states how quickly calls of a class have to be
// answered, how much of that time they may spend in a queue, and whether they may run
// twice. It contains no weights and no addresses, since the system chooses them.
// A Document is immutable once parsed and can be shared between goroutines.
//
// # Usage
//
//	doc, err := config.Parse("mesh.jsonc", data) // err lists all findings
//	table, err := doc.Compile()
//	route, ok := table.Match("skraning", "POST", "/bookings/17")
//
// The priority of a class is derived from its targets, see Class.Priority.
package config
