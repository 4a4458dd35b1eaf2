// Package procs runs a deployment as separate processes on the loopback interface: the
// stand-in of the platform's store, nodes, and stand-in backend servers.
//
// Peers reach each node through a fault-injecting proxy, and each data centre reaches
// the store through another one. Faults of processes are injected by signals to their
// process ids. Integration tests and the soak share the package.
//
// # Usage
//
//	binary, err := procs.Build(dir)
//	f, err := procs.Start(procs.Config{Binary: binary, Dir: dir, Specs: specs})
//	defer f.Stop()
//	f.Instances[0].Node.Kill()
//	err = f.Instances[0].Node.Start()
package procs
