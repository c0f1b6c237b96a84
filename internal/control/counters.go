package control

import (
	"sync"

	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/control/mutant"
)

// counterService keeps the quota counters that this node owns. It answers only in the term of the majority lease
// in which its ownership was last evaluated: in another term, other nodes may have owned the counters meanwhile.
type counterService struct {
	addr   func() string // own internal address
	lease  *majority.Lease
	uptime func() float64

	mu    sync.Mutex // guards the fields below
	table *quota.CounterTable
	term  uint64 // of the lease, in which the ownership was last evaluated
}

func newCounterService(addr func() string, lease *majority.Lease, uptime func() float64) *counterService {
	return &counterService{addr: addr, lease: lease, uptime: uptime, table: quota.New()}
}

// handle answers a call that adds to a counter; nil: the frame is another one.
func (s *counterService) handle(request *transport.Frame) *transport.Frame {
	add := request.CounterAdd
	if add == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if term, held := s.lease.Current(); (!held || term != s.term) && !mutant.Active("keeps-counters-alone") {
		return &transport.Frame{CounterTotal: &transport.CounterTotal{}}
	}
	total := s.table.Add(s.uptime(), add)
	return &transport.Frame{CounterTotal: &total}
}

// update evaluates the ownership anew: the counters are divided among the reachable voters, given by their
// internal addresses. A new term begins with a new handover fence.
func (s *counterService) update(reachable []string, term uint64, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term && !mutant.Active("serves-through-a-lapse") {
		s.table.SetMembers(s.uptime(), nil, s.addr(), false)
	}
	s.term = term
	s.table.SetMembers(s.uptime(), reachable, s.addr(), held || mutant.Active("keeps-counters-alone"))
}

// count is the number of counters kept.
func (s *counterService) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}
