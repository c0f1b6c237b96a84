package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/standalone/usageexport"
)

// UsageCommands are the commands about usage records.
type UsageCommands struct {
	Export UsageExportCommand `cmd:"" name:"export" help:"Send what is recorded and not yet acknowledged to billing."`
	Verify UsageVerifyCommand `cmd:"" name:"verify" help:"${usageVerify}"`
	Show   UsageShowCommand   `cmd:"" name:"show" help:"Show what is recorded."`
}

const (
	maxExportAttempts = 5   // of one batch
	retryDelaySeconds = 0.2 // before the second attempt; it grows by as much with each
	maxAdviceSeconds  = 5   // of the delay that billing asks for
)

// openExporter opens the store of a folder of records, which must exist.
func openExporter(e *usageexport.Exporter) error {
	if err := checkExists(e.Dir); err != nil {
		return err
	}
	return e.Open()
}

// UsageExportCommand exports records.
type UsageExportCommand struct {
	Dir    string `arg:"" name:"dir" type:"path" help:"Folder of the records."`
	To     string `name:"to" required:"" placeholder:"URL" help:"Billing's endpoint."`
	Follow bool   `name:"follow" help:"Go on with what is recorded from now on, until SIGTERM."`
	Keep   string `name:"keep" default:"168h" placeholder:"SPAN" help:"${usageExportKeep}"`
}

// Run exports what is there, and with --follow what comes.
func (ue *UsageExportCommand) Run(p *Program) error {
	keep, err := time.ParseDuration(ue.Keep)
	if err != nil || keep < 0 {
		return fmt.Errorf("--keep: not a span such as 168h: %q", ue.Keep)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := newLogger(p.err, p.LogFormat)
	e := &usageexport.Exporter{Dir: ue.Dir, Endpoint: ue.To, Retention: keep, Log: logger}
	if err := openExporter(e); err != nil {
		return err
	}
	defer e.Close()
	if ue.Follow {
		logger.WithFields(logrus.Fields{"code": "usage-export-started", "dir": ue.Dir, "to": ue.To}).Info("exporting")
		e.Run(ctx)
		return nil
	}
	batches, err := exportAll(ctx, e)
	if err != nil {
		return err
	}
	fmt.Fprintf(p.out, "%d batches taken, nothing is left\n", batches)
	return nil
}

// exportAll exports until nothing is left, and returns the number of batches.
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
				return batches, fmt.Errorf("%w after %d: %w", errNoBatchTaken, batches, err)
			}
			delay := max(retryDelaySeconds*float64(attempts), min(result.RetryAfter, maxAdviceSeconds))
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(delay * float64(time.Second))):
			}
		}
	}
	return batches, ctx.Err()
}

// UsageVerifyCommand verifies records.
type UsageVerifyCommand struct {
	Dir string `arg:"" name:"dir" type:"path" help:"Folder of the records. No exporter may be at it meanwhile."`
	commandline.OutputFlag
}

// Run verifies segments and batches.
func (uv *UsageVerifyCommand) Run(p *Program) error {
	e := &usageexport.Exporter{Dir: uv.Dir, Log: newLogger(p.err, p.LogFormat)}
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
