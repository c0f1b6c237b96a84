// Package quotasync runs the state machine of package quotashare in one process. The state machine divides quotas and
// exchanges votes against servers among ingresses; this package passes it the time, the messages of gossip and the
// engine's requests, and carries out its actions.
//
// It imports quotashare, gossip (for topics) and the decision module. Service owns the allocator, guarded by its
// mutex; nothing is stored. Service.Run is the only goroutine; its caller ends it by canceling the context, and waits
// for it.
//
// The state machine is tested in package quotashare, and whole processes are tested in emulator/faulttest.
package quotasync
