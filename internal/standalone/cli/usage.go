package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/emulator/testcluster"
	"mulleinrouter/internal/standalone/usageexport"
	"mulleinrouter/internal/standalone/usagesegment"
)

// Usage are the commands about records of use.
type Usage struct {
	Export UsageExport `cmd:"" help:"Send what is recorded and not yet acknowledged to billing."`
	Verify UsageVerify `cmd:"" help:"Check segments and batches, and that they say the same. Exit code 1 if they do not."`
	Show   UsageShow   `cmd:"" help:"Show what is recorded."`
}

// opened opens the store of a folder of records, which must be there.
func opened(e *usageexport.Exporter) error {
	if err := exists(e.Dir); err != nil {
		return err
	}
	return e.Open()
}

// UsageExport exports.
type UsageExport struct {
	Dir    string `arg:"" type:"path" help:"Folder of the records."`
	To     string `required:"" placeholder:"URL" help:"Billing's endpoint."`
	Follow bool   `help:"Go on with what is recorded from now on, until SIGTERM."`
	Keep   string `default:"168h" placeholder:"SPAN" help:"Segments that were acknowledged stay for this long."`
}

var errNothing = errors.New("no batch was taken")

// Run exports.
func (c *UsageExport) Run(p *Program) error {
	keep, err := time.ParseDuration(c.Keep)
	if err != nil || keep < 0 {
		return fmt.Errorf("--keep: not a span such as 168h: %q", c.Keep)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := newLogger(p.err, p.LogFormat)
	e := &usageexport.Exporter{Dir: c.Dir, Endpoint: c.To, Retention: keep, Log: logger}
	if err := opened(e); err != nil {
		return err
	}
	defer e.Close()
	if c.Follow {
		logger.WithFields(logrus.Fields{"code": "usage-export-started", "dir": c.Dir, "to": c.To}).Info("exporting")
		e.Run(ctx)
		return nil
	}
	batches := 0
	for tries := 0; ctx.Err() == nil; {
		result, err := e.Step(ctx)
		switch {
		case err == nil && result.Sent:
			batches++
			tries = 0
		case err == nil:
			fmt.Fprintf(p.out, "%d batches taken, nothing is left\n", batches)
			return nil
		default:
			if tries++; tries >= 5 || result.Answer != usage.Retry {
				return fmt.Errorf("%w after %d: %w", errNothing, batches, err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(max(0.2*float64(tries), min(result.RetryAfter, 5)) * float64(time.Second))):
			}
		}
	}
	return ctx.Err()
}

// UsageVerify checks.
type UsageVerify struct {
	Dir string `arg:"" type:"path" help:"Folder of the records. No exporter may be at it meanwhile."`
}

// Run checks.
func (c *UsageVerify) Run(p *Program) error {
	e := &usageexport.Exporter{Dir: c.Dir, Log: newLogger(p.err, p.LogFormat)}
	if err := opened(e); err != nil {
		return err
	}
	defer e.Close()
	v, err := e.Verify()
	if err != nil {
		return err
	}
	units := func(s usage.Sum) string {
		return fmt.Sprintf("%.6g units in %d tries", s.InUnits(), s.Requests)
	}
	t := table(p.out)
	fmt.Fprintf(t, "segments\t%d, with %d records\n", v.Segments, v.Records)
	fmt.Fprintf(t, "batches\t%d\n", v.Batches)
	fmt.Fprintf(t, "billed\t%s\n", units(v.Known))
	fmt.Fprintf(t, "arrival not known\t%s, listed apart\n", units(v.Unknown))
	fmt.Fprintf(t, "not recorded\t%s, for want of room\n", units(v.Unmetered))
	fmt.Fprintf(t, "in no batch yet\t%s\n", units(v.NotExported))
	fmt.Fprintf(t, "out\t%d tries\n", v.InFlight)
	t.Flush()
	if len(v.Problems) > 0 {
		return fmt.Errorf("%d problems: %s", len(v.Problems), strings.Join(v.Problems, "; "))
	}
	fmt.Fprintln(p.out, "all is in order")
	return nil
}

// UsageShow shows.
type UsageShow struct {
	Dir    string `arg:"" type:"path" help:"Folder of the records."`
	By     string `enum:"member,plan,class,minute,all" default:"plan" help:"What to add up by: member, plan, class, minute, or all rows one by one."`
	Output string `enum:"table,json" default:"table" help:"table or json."`
}

// Run shows what the segments say, those that are still written to included.
func (c *UsageShow) Run(p *Program) error {
	if err := exists(c.Dir); err != nil {
		return err
	}
	list, err := usagesegment.List(c.Dir)
	if err != nil {
		return badFile{err}
	}
	var ledger usage.Replayer
	all := usage.Tally{}
	for _, s := range list {
		h, data, err := usagesegment.Read(s.Path)
		if err != nil {
			return badFile{err}
		}
		t, _, err := ledger.Replay(h, data)
		if err != nil {
			return badFile{fmt.Errorf("%s: %w", s.Path, err)}
		}
		all.Merge(t)
	}
	rows := all.Rows()
	if c.By == "all" || c.Output == "json" && c.By == "plan" {
		if c.Output == "json" {
			return json.NewEncoder(p.out).Encode(rows)
		}
		t := table(p.out)
		fmt.Fprintln(t, "minute\tmember\tplan\trevision\tclass\tbeyond\tunknown\ttries\tunits")
		for _, r := range rows {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%v\t%v\t%d\t%.6g\n", minute(r.Minute), r.Member, r.Plan, r.Revision, r.Class, r.OverQuota, r.Unknown, r.Requests, r.InUnits())
		}
		return t.Flush()
	}
	type line struct {
		Name                    string
		Tries                   int64
		Inside, Beyond, Unknown float64
	}
	byName := map[string]*line{}
	for _, r := range rows {
		name := map[string]string{"member": r.Member, "plan": r.Plan, "class": r.Class, "minute": minute(r.Minute)}[c.By]
		l := byName[name]
		if l == nil {
			l = &line{Name: name}
			byName[name] = l
		}
		l.Tries += r.Requests
		units := r.InUnits()
		switch {
		case r.Unknown:
			l.Unknown += units
		case r.OverQuota:
			l.Beyond += units
		default:
			l.Inside += units
		}
	}
	var lines []*line
	for _, l := range byName {
		lines = append(lines, l)
	}
	slices.SortFunc(lines, func(a, b *line) int { return cmp.Compare(a.Name, b.Name) })
	if c.Output == "json" {
		return json.NewEncoder(p.out).Encode(lines)
	}
	t := table(p.out)
	fmt.Fprintf(t, "%s\ttries\tunits inside\tbeyond quota\tarrival unknown\n", c.By)
	for _, l := range lines {
		fmt.Fprintf(t, "%s\t%d\t%.6g\t%.6g\t%.6g\n", l.Name, l.Tries, l.Inside, l.Beyond, l.Unknown)
	}
	return t.Flush()
}

func minute(m int64) string { return time.Unix(m*60, 0).UTC().Format("2006-01-02T15:04Z") }

// Try is what a newcomer runs first.
type Try struct {
	Seconds   float64 `default:"8" help:"For how long requests are sent."`
	Members   int     `default:"40" help:"Members, half on either plan."`
	Ingresses int     `default:"3" help:"Ingresses, each a process."`
	Load      float64 `default:"0.9" help:"What members ask for, in times their quotas."`
	Kill      bool    `help:"Kill an ingress in the middle, and start it again."`
	Crashes   int     `help:"So many times an exporter is killed."`
	Faults    bool    `help:"Quote servers and billing do wrong now and then."`
	Duty      bool    `help:"Show a duty instead: whoever exports the use of all is killed, and another goes on."`
	Seed      uint64  `default:"1" help:"For random numbers."`
	Dir       string  `type:"path" help:"Folder for logs, records and the catalogue; it stays. Default: a temporary one."`
}

var errNotShown = errors.New("the run did not show what it should")

// Run plays it.
func (c *Try) Run(p *Program) error {
	if c.Duty {
		return (&Rehearse{File: "try-holder", Dir: c.Dir, Slack: 1, Repeat: 1}).Run(p)
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Dir != "" {
		if err := os.MkdirAll(c.Dir, 0o755); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fmt.Fprintf(p.out, "%d ingresses, 3 stand-in quote servers, discovery, a counter and billing on loopback; %d members for %g s\n", c.Ingresses, c.Members, c.Seconds)
	report, err := testcluster.Play(ctx, testcluster.Options{Program: program, Dir: c.Dir, Ingresses: c.Ingresses, Members: c.Members, Seconds: c.Seconds, Load: c.Load,
		Changes: true, Kill: c.Kill, Crashes: c.Crashes, Faults: c.Faults, Seed: c.Seed, Progress: p.out})
	if err != nil {
		return err
	}
	fmt.Fprintln(p.out)
	report.Write(p.out)
	if !report.Good() {
		return errNotShown
	}
	return nil
}
