// Package owners keeps in the store which server was heard at the address of a node's backend
// server, see package owner, so that a started node knows it also if no other node does.
//
// There is one record for each instance. It is written when another server is heard, so that
// a server costs one write, and read at the start of a node. The read may be out of date: a
// record of a server that has ended does no harm.
//
// # Usage
//
//	k := owners.New(owners.Config{Store: store, Key: key, Service: service, OnLearned: f, …})
//	go k.Run(ctx)
//	k.Save(gate.Owner)
package owners
