// Package quotasync runs the division of quotas and verdicts among ingresses for one process: it gives the
// state machine of package quotashare the clock, the messages of gossip and the engine's requests, and
// carries out its actions.
//
// It imports quotashare, gossip (for topics) and the decision module. Service owns the allocator under its
// mutex; nothing is stored. Service.Run is the one goroutine; its caller ends it by the context and waits for
// it.
//
// Tests: the state machine's are in quotashare, those of whole processes in emulator/faulttest.
package quotasync
