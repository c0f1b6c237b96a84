// Package ingresslease keeps the leases of the ingresses that subscribe to a control node. It counts the ready
// ingresses and computes the rank of each in its zone.
//
// An ingress (its agent or proxy) renews its lease with each transport.Renewal of its subscription. Quotas are divided
// by the published count, so it must not be too small. As long as some holders may not have renewed their leases here
// yet, the count from before is the lower bound. A Table owns its state and does no I/O. The package imports the
// messages of cluster/transport. table_test.go tests it alone; package control tests whole nodes.
package ingresslease
