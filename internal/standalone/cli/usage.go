package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/usageexport"
)

// UsageCommands are the commands for usage records.
type UsageCommands struct {
	Export UsageExportCommand `cmd:"" name:"export" help:"Send what is recorded and not yet acknowledged to billing."`
	Verify UsageVerifyCommand `cmd:"" name:"verify" help:"${usageVerify}"`
	Show   UsageShowCommand   `cmd:"" name:"show" help:"Show what is recorded."`
}

const (
	maxExportAttempts    = 5   // maximum number of attempts per batch
	retryDelaySeconds    = 0.2 // delay before the second attempt, and its increase with each further one, seconds
	maxRetryAfterSeconds = 5   // upper bound of the delay that billing requests, seconds
)

// openExporter opens an exporter. Its folder of records must exist.
func openExporter(e *usageexport.Exporter) error {
	if err := checkExists(e.Dir); err != nil {
		return err
	}
	return e.Open()
}

// UsageExportCommand exports usage records to billing.
type UsageExportCommand struct {
	Dir    string `arg:"" name:"dir" type:"path" help:"Folder of the records."`
	To     string `name:"to" required:"" placeholder:"URL" help:"Billing's endpoint."`
	Follow bool   `name:"follow" help:"Go on with what is recorded from now on, until SIGTERM."`
	Keep   string `name:"keep" default:"168h" placeholder:"SPAN" help:"${usageExportKeep}"`
}

// Run exports the existing records and ends, or with --follow also exports new ones until SIGTERM or SIGINT.
func (ue *UsageExportCommand) Run(p *Program) error {
	keep, err := time.ParseDuration(ue.Keep)
	if err != nil || keep < 0 {
		return fmt.Errorf("--keep: not a span such as 168h: %q", ue.Keep)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := p.newLogger()
	e := &usageexport.Exporter{Dir: ue.Dir, Endpoint: ue.To, Retention: keep, Log: logger}
	if err := openExporter(e); err != nil {
		return err
	}
	defer e.Close()
	if ue.Follow {
		level.Info(logger).Log("msg", "exporting", "code", "usage-export-started", "dir", ue.Dir, "to", ue.To)
		e.Run(ctx)
		return nil
	}
	batches, err := exportAll(ctx, e)
	if err != nil {
		return err
	}
	fmt.Fprintf(p.out, "%d batches acknowledged, nothing is left\n", batches)
	return nil
}

// exportAll exports until no record is left, and returns the number of batches. It fails if billing rejects a batch,
// or after maxExportAttempts attempts of a batch.
func exportAll(ctx context.Context, e *usageexport.Exporter) (batches int, err error) {
	for attempts := 0; ctx.Err() == nil; {
		result, err := e.Step(ctx)
		switch {
		case err == nil && result.Sent:
			batches++
			attempts = 0
		case err == nil:
			return batches, nil
		default:
			if attempts++; attempts >= maxExportAttempts || result.Answer != usage.Retry {
				return batches, fmt.Errorf("%w after %d batches: %w", errBatchNotAcknowledged, batches, err)
			}
			delay := max(retryDelaySeconds*float64(attempts), min(result.RetryAfter, maxRetryAfterSeconds))
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(delay * float64(time.Second))):
			}
		}
	}
	return batches, ctx.Err()
}

// UsageVerifyCommand verifies that segments and batches are intact and agree.
type UsageVerifyCommand struct {
	Dir string `arg:"" name:"dir" type:"path" help:"Folder of the records. No exporter may use it at the same time."`
	commandline.OutputFlag
}

// Run verifies the records and prints the totals and the problems.
func (uv *UsageVerifyCommand) Run(p *Program) error {
	e := &usageexport.Exporter{Dir: uv.Dir, Log: p.newLogger()}
	if err := openExporter(e); err != nil {
		return err
	}
	defer e.Close()
	v, err := e.Verify()
	if err != nil {
		return err
	}
	writeTable := func(out io.Writer) error { return writeVerification(out, v) }
	if err := uv.Print(p.out, newVerificationReport(v), writeTable); err != nil {
		return err
	}
	if len(v.Problems) > 0 {
		return fmt.Errorf("%d problems: %s", len(v.Problems), strings.Join(v.Problems, "; "))
	}
	if !uv.JSON() {
		fmt.Fprintln(p.out, "all is in order")
	}
	return nil
}
