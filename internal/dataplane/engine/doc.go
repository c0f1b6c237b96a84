// Package engine runs the decision module in real time. Engine owns the attempt.Dispatcher and with it the gateway,
// neither of which is safe for concurrent use. It passes events to the dispatcher one at a time, under its mutex, and
// passes each effect to the request, the counter or the timer that it concerns. The engine is independent of protocols:
// its callers submit requests, and follow each request by its Ticket.
//
// It imports packages attempt and decision. In addition to the dispatcher, it owns the timers of the decision module
// and of the catalogue. The tests are in this package; package ingress tests complete exchanges with the engine.
package engine
