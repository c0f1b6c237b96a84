package usageexport_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/standalone/usageexport"
	"mulleinrouter/internal/standalone/usagesegment"
)

func logger() (*logrus.Logger, *bytes.Buffer) {
	b := &bytes.Buffer{}
	l := logrus.New()
	l.SetOutput(b)
	return l, b
}

func startBilling(t *testing.T) *fakes.Billing {
	b := &fakes.Billing{}
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Stop)
	return b
}

// recordUsage has one run of an ingress write so many tries that arrived, and leave one out, as a kill does.
func recordUsage(t *testing.T, dir string, tries int) {
	t.Helper()
	log, _ := logger()
	w, err := usagesegment.Open(dir, time.Minute, log)
	if err != nil {
		t.Fatal(err)
	}
	for i := range tries {
		try := usage.Try{Member: fmt.Sprintf("%016x", i%7), Plan: "plus", Class: "quote-read", Revision: uint64(i % 3),
			Units: usage.ToMicro(1.25), Minute: time.Now().Unix()/60 - int64(i%4), Beyond: i%5 == 0}
		w.Ended(w.Sent(try), usage.Whole)
	}
	w.Sent(usage.Try{Member: "00000000000000ff", Units: usage.ToMicro(2), Minute: time.Now().Unix() / 60})
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

func openExporter(t *testing.T, dir string, b *fakes.Billing) *usageexport.Exporter {
	t.Helper()
	log, _ := logger()
	e := &usageexport.Exporter{Dir: dir, Endpoint: b.URL(), Retention: time.Hour, Log: log}
	if err := e.Open(); err != nil {
		t.Fatal(err)
	}
	return e
}

// exportAll exports until nothing is left, passing over answers that are none.
func exportAll(t *testing.T, e *usageexport.Exporter) {
	t.Helper()
	for range 100 {
		sent, _, _, err := e.Step(context.Background())
		if err == nil && !sent {
			return
		}
	}
	t.Fatal("it never comes to an end")
}

var errKilled = errors.New("killed")

// The exporter is killed at every place, with every answer of the endpoint before and after: the bill is the same.
func TestKilledExporterBillsOnce(t *testing.T) {
	points := []string{"while storing the batch", "before sending", "after sending", "before storing the acknowledgement", "while storing the acknowledgement"}
	faults := map[string]fakes.BillingFault{"fine": fakes.Fine, "fails": fakes.Fails, "loses": fakes.Loses, "babble": fakes.Babble, "slow": fakes.Slow}
	for _, point := range points {
		for name, fault := range faults {
			t.Run(point+", "+name, func(t *testing.T) {
				dir, b := t.TempDir(), startBilling(t)
				b.Next(fault)
				recordUsage(t, dir, 50)
				kills := 0
				for range 3 { // the place is come to again after each start
					e := openExporter(t, dir, b)
					e.SetTestHook(func(at string) error {
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
					t.Fatal("never came there")
				}
				recordUsage(t, dir, 30)
				e := openExporter(t, dir, b)
				defer e.Close()
				exportAll(t, e)
				tally, _, repeats, conflicts := b.Billed()
				known, unknown := tally.Total()
				if known != (usage.Sum{Tries: 80, Units: 100 * usage.Micro}) || unknown.Tries != 1 || conflicts != 0 {
					t.Errorf("billed %+v, unknown %+v, %d repeats, %d conflicts", known, unknown, repeats, conflicts)
				}
				v, err := e.Verify()
				if err != nil || len(v.Problems) > 0 || v.Known != known || v.Unknown != unknown || v.InFlight != 1 {
					t.Errorf("verify: %+v %v", v, err)
				}
			})
		}
	}
}

func TestUnreachableEndpoint(t *testing.T) {
	dir, b := t.TempDir(), startBilling(t)
	recordUsage(t, dir, 10)
	e := openExporter(t, dir, b)
	defer e.Close()
	b.Next(fakes.Hangs)
	ctx, cancel := context.WithCancel(context.Background())
	e.SetTestHook(func(at string) error {
		if at == "before sending" {
			time.AfterFunc(20*time.Millisecond, cancel) // the client's time is up
		}
		return nil
	})
	if sent, answer, _, err := e.Step(ctx); sent || answer != usage.Again || !errors.Is(err, usageexport.ErrNotAcknowledged) {
		t.Errorf("a hanging endpoint: %v %v %v", sent, answer, err)
	}
	e.SetTestHook(nil)
	exportAll(t, e)
	if tally, _, repeats, _ := b.Billed(); len(tally) == 0 || repeats != 0 {
		t.Errorf("%d rows, %d repeats", len(tally), repeats)
	}
	b.Stop()
	recordUsage(t, dir, 10)
	if sent, answer, _, err := e.Step(context.Background()); sent || answer != usage.Again || err == nil {
		t.Errorf("an endpoint that is gone: %v %v %v", sent, answer, err)
	}
}

func TestConflictingBatchIsReported(t *testing.T) {
	dir, b := t.TempDir(), startBilling(t)
	recordUsage(t, dir, 10)
	e := openExporter(t, dir, b)
	defer e.Close()
	b.Next(fakes.Loses)
	e.Step(context.Background())
	// Billing has the batch. Its copy here changes, as by a disk that loses a sync.
	other := openTwin(t, b, dir)
	if sent, answer, _, err := other.Step(context.Background()); sent || answer != usage.Conflicting || err == nil {
		t.Errorf("%v %v %v", sent, answer, err)
	}
}

// openTwin has a folder under the same name, with other records.
func openTwin(t *testing.T, b *fakes.Billing, dir string) *usageexport.Exporter {
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

func TestVerify(t *testing.T) {
	for name, tc := range map[string]struct {
		break_ func(list []usagesegment.Info)
		want   string
	}{
		"nothing":           {func([]usagesegment.Info) {}, ""},
		"a segment is gone": {func(l []usagesegment.Info) { os.Remove(l[1].Path) }, "segments 2 to 2 are missing"},
		"a bit is flipped": {func(l []usagesegment.Info) {
			data, _ := os.ReadFile(l[1].Path)
			data[usage.Size+20] ^= 1
			os.WriteFile(l[1].Path, data, 0o644)
		}, "1 records damaged"},
		"a record is added": {func(l []usagesegment.Info) {
			data, _ := os.ReadFile(l[0].Path)
			more, _ := os.ReadFile(l[2].Path)
			os.WriteFile(l[0].Path, append(data, more[usage.Size:]...), 0o644)
		}, "batch 1 says otherwise than its segments 1 to 1"},
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
			tc.break_(list)
			e = openExporter(t, dir, b)
			defer e.Close()
			v, err := e.Verify()
			if err != nil || v.Batches != 3 || (tc.want == "") != (len(v.Problems) == 0) || !strings.Contains(strings.Join(v.Problems, "\n"), tc.want) {
				t.Errorf("%+v %v", v, err)
			}
		})
	}
}

func TestAcknowledgedSegmentsAreRemoved(t *testing.T) {
	dir, b := t.TempDir(), startBilling(t)
	recordUsage(t, dir, 5)
	recordUsage(t, dir, 5)
	log, _ := logger()
	e := &usageexport.Exporter{Dir: dir, Endpoint: b.URL(), Retention: 0, Log: log}
	if err := e.Open(); err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	exportAll(t, e)
	list, _ := usagesegment.List(dir)
	if len(list) != 0 {
		t.Errorf("%v left", list)
	}
	if v, err := e.Verify(); err != nil || len(v.Problems) > 0 || v.Known.Tries != 10 {
		t.Errorf("%+v %v", v, err)
	}
}

func TestSecondExporterIsRejected(t *testing.T) {
	dir, b := t.TempDir(), startBilling(t)
	recordUsage(t, dir, 1)
	e := openExporter(t, dir, b)
	defer e.Close()
	log, _ := logger()
	if err := (&usageexport.Exporter{Dir: dir, Endpoint: b.URL(), Log: log}).Open(); !errors.Is(err, usageexport.ErrLocked) {
		t.Errorf("a second one: %v", err)
	}
}

// Run keeps at it: one line for a trouble however often it repeats, one when it is over.
func TestRunRetries(t *testing.T) {
	dir, b := t.TempDir(), startBilling(t)
	recordUsage(t, dir, 10)
	log, lines := logger()
	b.Next(fakes.Fails, fakes.Fails)
	e := &usageexport.Exporter{Dir: dir, Endpoint: b.URL(), Retention: time.Hour, Log: log}
	ctx, cancel := context.WithCancel(context.Background())
	e.Client = &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
		response, err := http.DefaultTransport.RoundTrip(r)
		if err == nil && response.StatusCode == 200 {
			time.AfterFunc(50*time.Millisecond, cancel) // it has all that there is
		}
		return response, err
	})}
	if err := e.Open(); err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	e.Run(ctx)
	tally, _, _, _ := b.Billed()
	if known, _ := tally.Total(); known.Tries != 10 {
		t.Errorf("billed %+v", known)
	}
	got := []int{strings.Count(lines.String(), "usage-export-failed"), strings.Count(lines.String(), "usage-export-resumed")}
	if diff := cmp.Diff([]int{1, 1}, got); diff != "" {
		t.Errorf("%s\n%s", diff, lines)
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
