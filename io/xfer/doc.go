// Package xfer lets bodies and large answers pass the link of an instance at the pace of
// a schedule, see package band.
//
// A Lane is one direction of the link. A nil Lane is a link without a bound: all passes
// at once. A Pace spreads the pieces of one transfer over time.
//
// # Usage
//
//	in := xfer.NewLane(xfer.Config{BytesPerSecond: rate})
//	if r := in.Acquire(ctx, transfer); r.Admitted {
//		defer in.Done(transfer.ID)
//		body, err := xfer.Read(ctx, r, n, in.Pace())
//	}
package xfer
