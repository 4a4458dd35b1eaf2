// Package wire defines the protocol between nodes: the twirp services Peer, Proofs,
// Quotas and Rollouts, and the metadata of proxied calls and their answers.
//
// The Go code is generated from the .proto files and committed. To regenerate it,
// install protoc, protoc-gen-go and protoc-gen-twirp, and run go generate in
// this directory.
//
// # Usage
//
//	c := wire.NewPeerProtobufClient("http://10.0.0.7:7000", httpClient)
//	reply, err := c.Probe(ctx, &wire.ProbeRequest{From: "hafnar-1"})
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative wire.proto proof.proto rollout.proto quota.proto
