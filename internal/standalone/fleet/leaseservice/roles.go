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
	// reacquireDelay is after how long an ingress whose work of a role failed requests the role again.
	reacquireDelay = 10 * time.Second
	// workEndTimeout is how long Resign waits for the work of the roles. Work that goes on after that can do no harm:
	// its token is not valid here any more, and receivers reject it once they have seen a newer one.
	workEndTimeout = time.Second
)

// Work is the work of a role. It runs until the context ends, and calls token before each effect. If it returns
// before that, the role cannot be done here, and is resigned for a while.
type Work func(ctx context.Context, token func() (uint64, bool)) error

// role is a role that this ingress requests. Service.mu guards it.
type role struct {
	run           Work
	preferredZone string
	cancel        context.CancelFunc // nil: the work does not run
	ended         chan struct{}      // closed when the work has ended
	reacquire     *time.Timer        // nil: the work has not failed
}

// stopWork ends the work, if it runs, without waiting.
func (r *role) stopWork() {
	if r.cancel != nil {
		r.cancel()
	}
}

// stop ends the work, and no longer requests the role after a failure.
func (r *role) stop() {
	r.stopWork()
	if r.reacquire != nil {
		r.reacquire.Stop()
	}
}

// AddRole has this ingress request a role, and do its work while it holds the lease.
func (s *Service) AddRole(name, preferredZone string, run Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roles[name] = &role{run: run, preferredZone: preferredZone}
	s.acquireAll()
}

// Resign gives all roles up, until Rejoin. It first sends the voters one request to release them, so that another
// ingress may be granted them at once, and then waits, for workEndTimeout at most, until their work has ended and a
// voter of this process has passed the request on. No token of theirs is valid from the start of Resign.
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

// resignAll gives all roles up, and returns channels that close when their work has ended. The caller holds s.mu.
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

// stepLeaseHolder steps the lease holder and executes its actions. The caller holds s.mu.
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

// sendRequest sends a request to all voters, of which the leader responds. The caller holds s.mu.
func (s *Service) sendRequest(r singleton.AcquireRequest) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return
	}
	self := s.self()
	for _, voter := range s.options.Voters {
		if voter == self {
			s.onVoter(func() { s.requestReceived(r) })
			continue
		}
		s.options.Fleet.Send(voter, topicAcquireRequest, data)
	}
}

// stopWork ends the work of a role, if it runs. The caller holds s.mu.
func (s *Service) stopWork(name string) {
	if r := s.roles[name]; r != nil {
		r.stopWork()
	}
}

// startWork runs the work of a role under a token, unless it still runs under an older one. The caller holds s.mu.
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
			present, ok := s.FencingToken(name)
			return present, ok && present == token
		})
		s.workEnded(ctx, name, r, token, err)
	})
}

// workEnded steps down from a role whose work was stopped, and resigns one whose work failed.
func (s *Service) workEnded(ctx context.Context, name string, r *role, token uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := ctx.Err() != nil
	r.cancel()
	r.cancel = nil
	close(r.ended)
	if stopped {
		s.stepLeaseHolder(singleton.SteppedDown{Role: name})
		if present, ok := s.leaseHolder.FencingToken(s.now(), name); ok && present != token {
			s.startWork(name, present) // the lease was gained again while the work ended
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
