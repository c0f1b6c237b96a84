// Package engine runs the decision module on real time. Engine owns the attempt.Dispatcher, and with it the gateway,
// neither of which is safe for concurrent use: it hands it one event at a time, under its mutex, and routes each
// effect to the request, the counter or the timer that it concerns. It speaks no protocol; what does submits requests
// and follows them by their Ticket.
//
// It imports package attempt and decision. Beside the dispatcher it owns the timers of the decision module and of the
// catalogue. Its tests are here; package ingress plays whole exchanges through it.
package engine
