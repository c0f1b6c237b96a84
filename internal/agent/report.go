package agent

import (
	"context"
	"fmt"
	"time"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/transport"
)

// askTimeout bounds the connection of Ask.
const askTimeout = time.Second

// Report is what a running agent reports of itself.
type Report struct {
	Incarnation uint64  `json:"incarnation"`
	Ready       bool    `json:"ready"`
	Quorum      bool    `json:"quorum"`
	Members     int     `json:"members"` // ingresses that hold a lease
	Epoch       uint64  `json:"epoch"`
	Clock       float64 `json:"clock"`     // the common clock, in seconds
	Items       int     `json:"items"`     // of the configuration, with deleted ones
	Instances   int     `json:"instances"` // of servers, with silent and gone ones
	Serving     int     `json:"serving"`   // instances that take requests
}

// Ask has the agent at that address report what it knows, within about two seconds. Where none answers the error wraps
// ErrNoAgent.
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

// add takes an update of the agent.
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
