// Package proof decides how long a node may rely on the configuration version in force
// there, where a withdrawn key of a client account must end within a bound, also at nodes
// that are cut off.
//
// A Proof says that no version after a certain one had been accepted at a certain time.
// The source of all proofs is a linearizable read of the store: it proves what it
// returns as of the time at which it began. A node passes a proof on in the reply to a
// request, as the age that the proof then has. The node that asked counts the age from
// the time at which it sent the request, so that no delay makes a proof look younger.
// A message that was not asked for, a watch without events, a read that may be out of
// date and an answer from an earlier era of the store prove nothing.
//
// All times are readings of one clock of the node that does not stop while the process
// is frozen or the instance is suspended, and that nobody sets. They mean nothing at
// other nodes.
//
// # Usage
//
//	k := proof.NewKeeper(proof.Config{Bound: 5 * time.Second})
//	k.Apply(stamp)
//	k.Add(proof.Proof{Stamp: stamp, At: began})
//	if now.Before(k.Until()) { … serve requests with keys … }
package proof
