package leaseservice

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/fleet/singleton"
)

const (
	// reacquireDelay is how long an ingress waits after the work of a role failed before it requests the role again, so
	// that another ingress can be granted it.
	reacquireDelay = 10 * time.Second
	// workEndTimeout is how long Resign waits for the work of the roles to end. Work that continues after that is
	// harmless, because its token is no longer valid here, and receivers reject the token once they have seen a newer
	// one.
	workEndTimeout = time.Second
)

// Work is the work of a role. It runs until the context ends, and calls token before each request made under the role.
// If it returns earlier, the role cannot be performed on this ingress and is resigned for reacquireDelay.
type Work func(ctx context.Context, token func() (uint64, bool)) error

// role is a role that this ingress requests. Service.mu guards it.
type role struct {
	run           Work
	preferredZone string
	cancel        context.CancelFunc // ends the work; nil if it does not run
	ended         chan struct{}      // closed when the work has ended
	reacquire     *time.Timer        // requests the role again after a failure; nil if the work never failed
}

// stopWork cancels the work if it runs, without waiting for its end.
func (r *role) stopWork() {
	if r.cancel != nil {
		r.cancel()
	}
}

// stop cancels the work, and the timer that requests the role again after a failure.
func (r *role) stop() {
	r.stopWork()
	if r.reacquire != nil {
		r.reacquire.Stop()
	}
}

// AddRole makes this ingress request a role, and run its work while it holds the lease.
func (s *Service) AddRole(name, preferredZone string, run Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roles[name] = &role{run: run, preferredZone: preferredZone}
	s.acquireAll()
}

// Resign releases all roles, until Rejoin. It first sends the voters a request to release the roles, so that other
// ingresses may be granted them at once. It then waits, for at most workEndTimeout, until their work has ended and the
// voter of this process, if there is one, has handled the request. The tokens of the roles are invalid from the start
// of Resign.
func (s *Service) Resign() {
	s.mu.Lock()
	s.resigned = true
	ended := s.resignAll()
	s.mu.Unlock()
	timeout := time.After(workEndTimeout)
	for _, e := range append(ended, s.voterCaughtUp()) {
		select {
		case <-e:
		case <-timeout:
			return
		}
	}
}

// Rejoin requests all roles again after Resign.
func (s *Service) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resigned = false
	s.acquireAll()
}

// acquireAll requests all roles. The caller holds s.mu.
func (s *Service) acquireAll() {
	if s.resigned || s.recordFailed {
		return
	}
	for _, name := range s.roleNames() {
		s.stepLeaseHolder(singleton.Acquire{Role: name, PreferredZone: s.roles[name].preferredZone})
	}
}

// resignAll releases all roles, and returns channels that are closed when their work has ended. The caller holds s.mu.
func (s *Service) resignAll() (ended []<-chan struct{}) {
	for _, name := range s.roleNames() {
		if r := s.roles[name]; r.cancel != nil {
			r.cancel()
			ended = append(ended, r.ended)
		}
		s.stepLeaseHolder(singleton.Resign{Role: name})
	}
	return ended
}

// roleNames returns the names of the roles, sorted. The caller holds s.mu.
func (s *Service) roleNames() []string { return slices.Sorted(maps.Keys(s.roles)) }

// stepLeaseHolder passes an event to the lease holder and executes the resulting actions. The caller holds s.mu.
func (s *Service) stepLeaseHolder(event singleton.LeaseHolderEvent) {
	for _, action := range s.leaseHolder.Step(s.now(), event) {
		switch action := action.(type) {
		case singleton.SendRequest:
			s.sendRequest(action.Request)
		case singleton.LeaseGained:
			level.Info(s.log("duty-gained")).Log("msg", "lease of a singleton role gained",
				"duty", action.Role, "token", action.Token,
			)
			s.startWork(action.Role, action.Token)
		case singleton.LeaseLost:
			level.Warn(s.log("duty-lost")).Log("msg", "lease of a singleton role lost",
				"duty", action.Role, "token", action.Token,
			)
			s.stopWork(action.Role)
		case singleton.StepDown:
			s.stopWork(action.Role)
		}
	}
}

// sendRequest sends a request to all voters. Only the leader responds. The caller holds s.mu.
func (s *Service) sendRequest(r singleton.AcquireRequest) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return
	}
	self := s.self()
	for _, voter := range s.options.Voters {
		if voter == self {
			s.enqueueVoterStep(func() { s.requestReceived(r) })
			continue
		}
		s.options.Fleet.Send(voter, topicAcquireRequest, data)
	}
}

// stopWork cancels the work of a role if it runs. The caller holds s.mu.
func (s *Service) stopWork(name string) {
	if r := s.roles[name]; r != nil {
		r.stopWork()
	}
}

// startWork starts the work of a role under a token, unless it still runs under an older token. The caller holds s.mu.
func (s *Service) startWork(name string, token uint64) {
	r := s.roles[name]
	if r == nil || r.cancel != nil || s.stopped {
		return
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.ended = make(chan struct{})
	s.workers.Go(func() {
		err := r.run(ctx, func() (uint64, bool) {
			current, ok := s.FencingToken(name)
			return current, ok && current == token
		})
		s.workEnded(ctx, name, r, token, err)
	})
}

// workEnded handles the end of a role's work. If the work was canceled, it reports SteppedDown to the lease holder. If
// the work failed, it resigns the role and requests it again after reacquireDelay.
func (s *Service) workEnded(ctx context.Context, name string, r *role, token uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := ctx.Err() != nil
	r.cancel()
	r.cancel = nil
	close(r.ended)
	if stopped {
		s.stepLeaseHolder(singleton.SteppedDown{Role: name})
		if current, ok := s.leaseHolder.FencingToken(s.now(), name); ok && current != token {
			s.startWork(name, current) // the lease was gained again before the work had ended
		}
		return
	}
	level.Error(s.log("duty-resigned")).Log("msg", "work of a singleton role failed; another ingress may take the role",
		"duty", name, "error", err,
	)
	s.stepLeaseHolder(singleton.Resign{Role: name})
	r.reacquire = time.AfterFunc(reacquireDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.stopped {
			s.acquireAll()
		}
	})
}
