// Package link opens connections between nodes and counts what they carry.
//
// A Meter counts bytes by kind of link: inside the data centre or across data
// centres. Bytes are counted at the side that dialled, in both directions, so
// that the sum over all nodes counts each byte once.
//
// Delayed connections stand in for the distance between data centres in
// demonstrations and measurements.
//
// # Usage
//
//	m := link.NewMeter("control")
//	dial := m.Dial(link.Direct, isAcross)
//	dial = link.Delay(dial, 3500*time.Microsecond, isAcross)
package link
