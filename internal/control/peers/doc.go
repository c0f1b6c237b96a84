// Package peers keeps a control node's connections to the other control nodes.
//
// A Set subscribes to each of them as soon as its address is known (a replication.Client each) and carries calls
// to them; each answer extends the majority lease. It owns the clients: they run until the context given to
// Subscribe ends, and the caller's wait group waits for them. It imports package cluster's folders and
// control/majority. Its tests are those of package control, over links that are cut, slow or silent.
package peers
