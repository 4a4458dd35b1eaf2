// Package link opens connections between nodes, accepts connections, and counts
// the bytes that are sent and received.
//
// A Dialer opens connections that fail if the peer is silent for a given time. Direct
// is one with a short time, for messages that can be sent again.
//
// A Listener loses no pending connection when it is closed. The connections of Callers
// bound the time that callers take to send their requests, can be retired between two
// requests, and are closed by a Closer, which lets the answers on their way arrive.
//
// A Meter counts the bytes inside the data centre and those to other data centres
// separately. Only the side that dialled counts a connection, in both directions,
// so that the sum over all nodes counts each byte once.
//
// Delay simulates the latency between data centres in demonstrations and
// measurements. Blackhole simulates the loss of a network path.
//
// # Usage
//
//	var m link.Meter
//	dial := m.Dial(link.Direct, isAcross)
//	dial = link.Delay(dial, func(addr string) link.Path {
//		return link.Path{OneWay: 3500 * time.Microsecond}
//	})
package link
