// Package peers keeps a control node's connections to the other control nodes.
//
// A Set subscribes to each control node as soon as its address is known, with a separate replication.Client for each,
// and sends calls to it. Each answer to Set.Call extends the majority lease. The Set owns the clients: they run until
// the context given to Subscribe ends, and the caller's wait group waits for them. The package imports packages of
// cluster and control/majority. Its tests are in package control and use links that are partitioned, slow or silent.
package peers
