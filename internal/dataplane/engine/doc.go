// Package engine runs the decision module in real time. Engine owns the attempt.Dispatcher, which owns the gateway.
// Neither is safe for concurrent use. The engine passes events to the dispatcher one at a time, under its mutex, and
// passes each effect to the request, the counter or the timer that it concerns. The engine is independent of protocols:
// its callers submit requests, and follow each request by its Ticket.
//
// It imports packages attempt and decision. In addition to the dispatcher, it owns the timers of the decision module
// and of the catalogue. The tests are in this package; package ingress tests complete exchanges with the engine.
package engine
