package usageexport_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/usageexport"
	"mulleinrouter/internal/standalone/usagesegment"
)

func startBilling(t *testing.T) *fakes.Billing {
	b := &fakes.Billing{}
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Stop)
	return b
}

// recordUsage writes the records of one run of an ingress: some requests that arrived, and one that is in flight at
// the end of the run, as after a kill.
func recordUsage(t *testing.T, dir string, requests int) {
	t.Helper()
	logger := logtest.Discard()
	w, err := usagesegment.Open(dir, time.Minute, logger)
	if err != nil {
		t.Fatal(err)
	}
	for i := range requests {
		request := usage.Request{
			Member:    fmt.Sprintf("%016x", i%7),
			Plan:      "plus",
			Class:     "quote-read",
			Revision:  uint64(i % 3),
			Units:     usage.ToMicroUnits(1.25),
			Minute:    time.Now().Unix()/60 - int64(i%4),
			OverQuota: i%5 == 0,
		}
		w.Ended(w.Sent(request), usage.Arrived)
	}
	w.Sent(usage.Request{Member: "00000000000000ff", Units: usage.ToMicroUnits(2), Minute: time.Now().Unix() / 60})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

func openExporter(t *testing.T, dir string, b *fakes.Billing) *usageexport.Exporter {
	t.Helper()
	logger := logtest.Discard()
	e := &usageexport.Exporter{Dir: dir, Endpoint: b.URL(), Retention: time.Hour, Log: logger}
	if err := e.Open(); err != nil {
		t.Fatal(err)
	}
	return e
}

// exportAll exports until nothing is left, and ignores failures meanwhile.
func exportAll(t *testing.T, e *usageexport.Exporter) {
	t.Helper()
	for range 100 {
		result, err := e.Step(context.Background())
		if err == nil && !result.Sent {
			return
		}
	}
	t.Fatal("the export doesn't end")
}

var errKilled = errors.New("killed")

// TestKilledExporterBillsOnce kills the exporter at each point, for each fault of the endpoint. Each request must still
// be billed exactly once.
func TestKilledExporterBillsOnce(t *testing.T) {
	faults := map[string]fakes.BillingFault{
		"fine":   fakes.NoFault,
		"fails":  fakes.FailCall,
		"loses":  fakes.LoseReply,
		"babble": fakes.InvalidReply,
		"slow":   fakes.RateLimited,
	}
	for _, point := range usageexport.HookPoints {
		for name, fault := range faults {
			t.Run(fmt.Sprintf("%s, %s", point, name), func(t *testing.T) {
				dir, b := t.TempDir(), startBilling(t)
				b.InjectFaults(fault)
				recordUsage(t, dir, 50)
				kills := 0
				for range 3 { // the point is reached again after each start
					e := openExporter(t, dir, b)
					e.SetTestHook(func(at usageexport.HookPoint) error {
						if at == point {
							kills++
							return errKilled
						}
						return nil
					})
					e.Step(context.Background())
					e.Close()
				}
				if kills == 0 {
					t.Fatal("the point was never reached")
				}
				recordUsage(t, dir, 30)
				e := openExporter(t, dir, b)
				defer e.Close()
				exportAll(t, e)
				totals := b.Totals()
				known, unknown := totals.Tally.Total()
				wantKnown := usage.Sum{Requests: 80, Units: 100 * usage.MicroPerUnit}
				if known != wantKnown || unknown.Requests != 1 || totals.Conflicts != 0 {
					t.Errorf("billed %+v, unknown %+v, %d repeats, %d conflicts; want %+v, 1 request, any, 0",
						known, unknown, totals.Repeats, totals.Conflicts, wantKnown)
				}
				v, err := e.Verify()
				if err != nil || len(v.Problems) > 0 || v.Known != known || v.Unknown != unknown || v.InFlight != 1 {
					t.Errorf("Verify() = %+v, %v; want no problems, the billed sums and 1 in flight", v, err)
				}
			})
		}
	}
}

// TestUnreachableEndpoint checks that a step fails with the answer Retry if the endpoint hangs or is down, and that the
// batch is sent after a hang.
func TestUnreachableEndpoint(t *testing.T) {
	dir, b := t.TempDir(), startBilling(t)
	recordUsage(t, dir, 10)
	e := openExporter(t, dir, b)
	defer e.Close()
	b.InjectFaults(fakes.NoReply)
	ctx, cancel := context.WithCancel(context.Background())
	e.SetTestHook(func(at usageexport.HookPoint) error {
		if at == usageexport.BeforeSending {
			time.AfterFunc(20*time.Millisecond, cancel) // as if the client timed out
		}
		return nil
	})
	want := usageexport.Result{Answer: usage.Retry}
	if got, err := e.Step(ctx); got != want || !errors.Is(err, usageexport.ErrNotAcknowledged) {
		t.Errorf("a hanging endpoint: got %+v, %v; want %+v, %v", got, err, want, usageexport.ErrNotAcknowledged)
	}
	e.SetTestHook(nil)
	exportAll(t, e)
	if totals := b.Totals(); len(totals.Tally) == 0 || totals.Repeats != 0 {
		t.Errorf("got %d rows, %d repeats; want some, 0", len(totals.Tally), totals.Repeats)
	}
	b.Stop()
	recordUsage(t, dir, 10)
	if got, err := e.Step(context.Background()); got != want || err == nil {
		t.Errorf("an endpoint that is down: got %+v, %v; want %+v and an error", got, err, want)
	}
}

// TestConflictingBatchIsReported checks that a step fails with the answer Conflict if the endpoint has another batch
// under the same source and number. Otherwise the usage of the second batch would be lost without a trace.
func TestConflictingBatchIsReported(t *testing.T) {
	dir, b := t.TempDir(), startBilling(t)
	recordUsage(t, dir, 10)
	e := openExporter(t, dir, b)
	defer e.Close()
	b.InjectFaults(fakes.LoseReply)
	e.Step(context.Background())
	// The endpoint already has batch 1. Another exporter with the same source sends a different batch 1, as if the disk
	// had lost a synced write.
	other := openWithSameSource(t, b, dir)
	want := usageexport.Result{Answer: usage.Conflict}
	if got, err := other.Step(context.Background()); got != want || err == nil {
		t.Errorf("got %+v, %v; want %+v and an error", got, err, want)
	}
}

// openWithSameSource opens a new folder with the source of dir, but other records.
func openWithSameSource(t *testing.T, b *fakes.Billing, dir string) *usageexport.Exporter {
	t.Helper()
	source, err := usagesegment.Source(dir)
	if err != nil {
		t.Fatal(err)
	}
	twin := t.TempDir()
	if err := os.WriteFile(twin+"/source", []byte(source), 0o644); err != nil {
		t.Fatal(err)
	}
	recordUsage(t, twin, 11)
	e := openExporter(t, twin, b)
	t.Cleanup(func() { e.Close() })
	return e
}

// TestVerify checks that Verify reports a missing segment, a damaged record, and a segment that does not match its
// batch, and that it reports nothing for intact files.
func TestVerify(t *testing.T) {
	for name, tc := range map[string]struct {
		damage func(list []usagesegment.Info)
		want   string
	}{
		"nothing":              {func([]usagesegment.Info) {}, ""},
		"a segment is missing": {func(l []usagesegment.Info) { os.Remove(l[1].Path) }, "segments 2 to 2 are missing"},
		"a bit is flipped": {func(l []usagesegment.Info) {
			data, _ := os.ReadFile(l[1].Path)
			data[usage.HeaderSize+20] ^= 1
			os.WriteFile(l[1].Path, data, 0o644)
		}, "1 records damaged"},
		"a record is added": {func(l []usagesegment.Info) {
			data, _ := os.ReadFile(l[0].Path)
			more, _ := os.ReadFile(l[2].Path)
			os.WriteFile(l[0].Path, append(data, more[usage.HeaderSize:]...), 0o644)
		}, "batch 1 does not match its segments 1 to 1"},
	} {
		t.Run(name, func(t *testing.T) {
			dir, b := t.TempDir(), startBilling(t)
			e := (*usageexport.Exporter)(nil)
			for range 3 {
				recordUsage(t, dir, 20)
				e = openExporter(t, dir, b)
				exportAll(t, e)
				e.Close()
			}
			list, err := usagesegment.List(dir)
			if err != nil {
				t.Fatal(err)
			}
			tc.damage(list)
			e = openExporter(t, dir, b)
			defer e.Close()
			v, err := e.Verify()
			if err != nil || v.Batches != 3 {
				t.Fatalf("got %+v, %v; want 3 batches", v, err)
			}
			problems := strings.Join(v.Problems, "\n")
			if (tc.want == "") != (problems == "") || !strings.Contains(problems, tc.want) {
				t.Errorf("got problems %q, want %q", problems, tc.want)
			}
		})
	}
}

// TestAcknowledgedSegmentsAreRemoved checks that segments are removed once they are acknowledged and their retention
// has passed, and that Verify accepts that they are missing.
func TestAcknowledgedSegmentsAreRemoved(t *testing.T) {
	dir, b := t.TempDir(), startBilling(t)
	recordUsage(t, dir, 5)
	recordUsage(t, dir, 5)
	logger := logtest.Discard()
	e := &usageexport.Exporter{Dir: dir, Endpoint: b.URL(), Retention: 0, Log: logger}
	if err := e.Open(); err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	exportAll(t, e)
	list, _ := usagesegment.List(dir)
	if len(list) != 0 {
		t.Errorf("got segments %v, want none", list)
	}
	if v, err := e.Verify(); err != nil || len(v.Problems) > 0 || v.Known.Requests != 10 {
		t.Errorf("Verify() = %+v, %v; want no problems and 10 known requests", v, err)
	}
}

func TestSecondExporterIsRejected(t *testing.T) {
	dir, b := t.TempDir(), startBilling(t)
	recordUsage(t, dir, 1)
	e := openExporter(t, dir, b)
	defer e.Close()
	logger := logtest.Discard()
	second := &usageexport.Exporter{Dir: dir, Endpoint: b.URL(), Log: logger}
	if err := second.Open(); !errors.Is(err, usageexport.ErrLocked) {
		t.Errorf("a second exporter: got %v, want %v", err, usageexport.ErrLocked)
	}
}

// TestRunRetries checks that Run logs a repeated failure only once, and once more when the export works again.
func TestRunRetries(t *testing.T) {
	dir, b := t.TempDir(), startBilling(t)
	recordUsage(t, dir, 10)
	logger, lines := logtest.Record()
	b.InjectFaults(fakes.FailCall, fakes.FailCall)
	e := &usageexport.Exporter{Dir: dir, Endpoint: b.URL(), Retention: time.Hour, Log: logger}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	// Run continues for a moment after the endpoint has all batches, to check that it logs nothing more.
	go func() {
		lines.Await("usage-export-resumed")
		time.AfterFunc(50*time.Millisecond, cancel)
	}()
	if err := e.Open(); err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	e.Run(ctx)
	if known, _ := b.Totals().Tally.Total(); known.Requests != 10 {
		t.Errorf("billed %+v, want 10 requests", known)
	}
	got := []int{
		strings.Count(lines.String(), "usage-export-failed"),
		strings.Count(lines.String(), "usage-export-resumed"),
	}
	if diff := cmp.Diff([]int{1, 1}, got); diff != "" {
		t.Errorf("lines with usage-export-failed and usage-export-resumed (-want +got):\n%s\n%s", diff, lines)
	}
}
