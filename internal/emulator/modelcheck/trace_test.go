package modelcheck

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func readTrace(t *testing.T, path string) *Trace {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	trace, err := ReadTrace(file)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

// TestTracesStayFixed replays the traces of violations that were found and fixed, and checks that they do not return.
func TestTracesStayFixed(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got %d traces and error %v, want some", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			trace := readTrace(t, path)
			violations, happened := Replay(trace.Config, trace.Events)
			if diff := cmp.Diff(trace.Events, happened); diff != "" {
				t.Errorf("some events of the trace are no longer possible (-want +got):\n%s", diff)
			}
			for _, v := range violations {
				t.Errorf("%s: %s", v.Property, v.Text)
			}
		})
	}
}

func TestTraceReadsAsWritten(t *testing.T) {
	want := &Trace{
		Config:    Config{AtMostOnce: [2]bool{true, false}, TwoRequests: true, Servers: 2, IdleConnection: true},
		Events:    []string{"leaves c1", "cancel-lands c1"},
		Violation: Violation{"one-answer", "c1 has 2: last words"},
	}
	got, err := ReadTrace(strings.NewReader(want.String()))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

func TestReadTraceErrors(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       error
	}{
		{"empty", "", ErrWorldCount},
		{"two worlds", "world read servers=1\nworld read servers=1", ErrWorldCount},
		{"no server", "world read", ErrServerCount},
		{"unknown event", "world read servers=1\nnonsense c1", UnknownEventError{"nonsense c1"}},
		{"unknown condition", "world read servers=9", UnknownConditionError{"servers=9"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := ReadTrace(strings.NewReader(tc.text)); !errors.Is(err, tc.want) {
				t.Errorf("ReadTrace(%q): got error %v, want %v", tc.text, err, tc.want)
			}
		})
	}
}
