// Package band schedules the bandwidth of the network link of an instance.
//
// A Schedule owns one direction of the link. Bodies that take the link long, bulk
// transfers, wait until it admits them. They pass one after the other at a share of the
// rate of the link, in the order of their priorities and targets, so that small messages
// always find the link nearly free. Small messages go at once, and are accounted for.
//
// The schedule keeps a virtual clock: the time at which all that was admitted has
// passed. The next transfer is admitted a little before, since its first byte takes a
// round trip to come. The clock goes on by itself. So a sender that ends after its
// admission costs the time of its own transfer, and no message has to return it.
//
// The number of admitted transfers whose end was not reported is bounded as well. It
// holds back further ones if the link, or what is at its other end, is slower than
// assumed. A lease ends the place of a transfer whose end is not reported.
//
// A transfer that can't pass in time is refused when it is offered. One that could be in
// time on a free link has to end by its target, so that a lasting overload is refused
// and does not make each transfer late. One that is late in any case has to end by its
// deadline, and passes after those in time.
//
// # Usage
//
//	s := band.New(band.Config{BytesPerSecond: 1.25e6})
//	if !s.Bulk(n) {
//		s.Pass(now, n)
//	}
//	verdict, refusal := s.Offer(now, band.Transfer{ID: id, Bytes: n, Deadline: deadline})
//	decisions := s.Advance(now) // again at s.Next
//	s.Done(id)
package band
