package agent

import (
	"context"
	"fmt"
	"time"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
)

// askTimeout bounds the connection attempt of Ask.
const askTimeout = time.Second

// Report is the status that a running agent reports.
type Report struct {
	Incarnation uint64  `json:"incarnation"`
	Ready       bool    `json:"ready"`
	Quorum      bool    `json:"quorum"`
	Members     int     `json:"members"` // number of ingresses that hold a lease
	Epoch       uint64  `json:"epoch"`
	Clock       float64 `json:"clock"`     // time on the clock shared by the control nodes, in seconds
	Items       int     `json:"items"`     // configuration items, including deleted ones
	Instances   int     `json:"instances"` // server instances, including silent and gone ones
	Serving     int     `json:"serving"`   // instances that accept requests
}

// Ask requests a report from the agent at an address. It fails if it cannot connect within askTimeout, or if the agent
// sends nothing for transport.IdleTimeout. The error wraps ErrNoAgent if no connection is established or if the answer
// is not that of an agent.
func Ask(ctx context.Context, addr string) (Report, error) {
	netConn, err := transport.Dial(ctx, addr, askTimeout)
	if err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrNoAgent, err)
	}
	conn := transport.NewConn(netConn)
	defer conn.Close()
	hello := &transport.Hello{Class: classObserver, Incarnation: 1}
	if err := conn.Send(&transport.Frame{Hello: hello}); err != nil {
		return Report{}, err
	}
	var report Report
	for {
		frame, err := conn.Receive()
		if err != nil {
			return Report{}, err
		}
		update := frame.Update
		if update == nil {
			return Report{}, fmt.Errorf("%w at %s", ErrNoAgent, addr)
		}
		report.add(update)
		if update.Complete {
			return report, nil
		}
	}
}

// add adds an update of the agent to the report.
func (r *Report) add(update *transport.Update) {
	r.Items += len(update.Items)
	r.Instances += len(update.Instances)
	for _, instance := range update.Instances {
		if instance.Phase == registry.Serving {
			r.Serving++
		}
	}
	r.Incarnation, r.Ready, r.Quorum = update.Incarnation, update.Ready, update.Quorum
	r.Members, r.Epoch, r.Clock = update.Members, update.Epoch, update.Clock
}
