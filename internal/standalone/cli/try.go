package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// Groups of flags of TryCommand. The struct tags repeat these texts, because a tag cannot refer to a constant. Flags
// without a group can be used in every mode, except that --serve cannot be combined with --ingress.
const (
	gatewayGroup  = "Without --ingress"
	scheduleGroup = "Without --ingress and --serve"
	ingressGroup  = "With --ingress"
)

// TryCommand demonstrates the gateway on this machine. It runs the complete gateway with fake servers and clients, or
// with --ingress standalone ingresses.
type TryCommand struct {
	Ingress bool    `name:"ingress" help:"${tryIngress}"`
	Serve   bool    `name:"serve" help:"${tryServe}"`
	Load    float64 `name:"load" default:"0.9" help:"${tryLoad}"`
	Seed    uint64  `name:"seed" default:"1" help:"For random numbers."`
	Dir     string  `name:"dir" type:"path" help:"${tryDir}"`

	tryGatewayFlags
	tryScheduleFlags
	tryIngressFlags
}

// tryGatewayFlags are the flags of the complete gateway.
type tryGatewayFlags struct {
	Core     int    `name:"core" default:"3" group:"Without --ingress" help:"Control nodes."`
	Edge     int    `name:"edge" default:"3" group:"Without --ingress" help:"${tryEdge}"`
	Programs string `name:"bin" type:"existingdir" group:"Without --ingress" help:"${tryBin}"`
	Port     int    `name:"port" group:"Without --ingress" help:"${tryPort}"`
}

// tryScheduleFlags are the flags of the complete gateway that cannot be combined with --serve.
type tryScheduleFlags struct {
	For      time.Duration `name:"for" default:"18s" group:"Without --ingress and --serve" help:"${tryFor}"`
	Schedule string        `name:"schedule" group:"Without --ingress and --serve" help:"${trySchedule}"`
}

// Validate checks that the flags can be combined. kong calls it.
func (t *TryCommand) Validate(parsed *kong.Context) error {
	for _, element := range parsed.Path {
		if element.Flag == nil || element.Flag.Group == nil {
			continue
		}
		group, name := element.Flag.Group.Key, element.Flag.Name
		switch {
		case group == ingressGroup && !t.Ingress:
			return fmt.Errorf("--%s is for the ingress in service: it goes with --ingress", name)
		case (group == gatewayGroup || group == scheduleGroup) && t.Ingress:
			return fmt.Errorf("--%s is for the complete gateway: it does not go with --ingress", name)
		case group == scheduleGroup && t.Serve:
			return fmt.Errorf("--%s does not go with --serve: there are no clients and no faults then", name)
		}
	}
	switch {
	case t.Ingress && t.Serve:
		return errServeWithIngress
	case min(t.Core, t.Edge) < 1:
		return errTooFewMachines
	case t.For <= 0:
		return errInvalidTrafficTime
	case t.Port < 0 || t.Port > maxFirstPort:
		return fmt.Errorf("--port: between 1 and %d, or 0 for any: %d", maxFirstPort, t.Port)
	}
	return nil
}

// Run runs the mode that the flags select until it ends, or until SIGTERM or SIGINT.
func (t *TryCommand) Run(p *Program) error {
	if t.Ingress && t.Lease {
		return t.runLease(p)
	}
	if t.Dir != "" {
		if err := os.MkdirAll(t.Dir, 0o755); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if t.Ingress {
		return t.runIngresses(ctx, p)
	}
	return t.runGateway(ctx, p)
}
