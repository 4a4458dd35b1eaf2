// Command standin-2 plays the cases of the second review that are scripts: it starts nodes of the
// project as separate processes on loopback addresses, beside stand-ins for the platform's store,
// the backend servers and the clients, and judges what these have seen.
//
// # Usage
//
//	standin-2 -case leave-after-clock-step -root . -record review/6/record.txt [-trouble=false]
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main
