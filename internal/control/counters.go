package control

import (
	"sync"

	"mulleinrouter/internal/cluster/quota"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/majority"
	"mulleinrouter/internal/mutants"
)

// counterService keeps the quota counters that this node owns. It answers only in the term of the majority lease in
// which its ownership was last evaluated, because other nodes may have owned the counters between two terms.
type counterService struct {
	addr   func() string // returns this node's internal address
	lease  *majority.Lease
	uptime func() float64 // seconds since the start of the process, by a monotonic clock

	mu    sync.Mutex // guards the fields below
	table *quota.CounterTable
	term  uint64 // term of the lease in which the ownership was last evaluated
}

func newCounterService(addr func() string, lease *majority.Lease, uptime func() float64) *counterService {
	return &counterService{addr: addr, lease: lease, uptime: uptime, table: quota.NewCounterTable()}
}

// handle answers a call that adds to a counter. The answer is not OK if this node does not own the counter now. handle
// returns nil for any other frame.
func (c *counterService) handle(request *transport.Frame) *transport.Frame {
	add := request.CounterAdd
	if add == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if term, held := c.lease.Current(); (!held || term != c.term) && !mutants.On("control/keeps-counters-alone") {
		return &transport.Frame{CounterTotal: &transport.CounterTotal{}}
	}
	total := c.table.Add(c.uptime(), add)
	return &transport.Frame{CounterTotal: &total}
}

// update evaluates the ownership of the counters again. They are divided among the reachable voters, which are given by
// their internal addresses. In a new term, the counters of this node wait for a new handover fence, because other nodes
// may have owned them meanwhile.
func (c *counterService) update(reachable []string, term uint64, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term && !mutants.On("control/serves-through-a-lapse") {
		c.table.SetMembers(c.uptime(), nil, c.addr(), false)
	}
	c.term = term
	c.table.SetMembers(c.uptime(), reachable, c.addr(), held || mutants.On("control/keeps-counters-alone"))
}

// count returns the number of counters that this node keeps.
func (c *counterService) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}
