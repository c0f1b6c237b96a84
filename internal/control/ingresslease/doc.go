// Package ingresslease keeps the leases of the ingresses that subscribe to a control node: how many serve, and
// the rank of each in its zone.
//
// An ingress (its agent or proxy) renews its lease with each heartbeat of its subscription. The published count
// divides quotas, so it must not be too small: while not all holders may have renewed here yet, the count known
// before is its lower bound. A Table owns its state; it does no I/O. It imports the transport's messages.
// table_test.go tests it alone; whole nodes are tested in package control.
package ingresslease
