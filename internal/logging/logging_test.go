package logging

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	cockroach "github.com/cockroachdb/errors"
)

// state has a String method, as the states of the programs do.
type state int

func (state) String() string { return "lame duck" }

func TestLines(t *testing.T) {
	for name, c := range map[string]struct {
		format Format
		want   string
	}{
		"logfmt": {
			Logfmt,
			`level=warn msg="batch not saved" part=control code=a-code state="lame duck" wait=1.5s servers="[a b]" ` +
				`listen=127.0.0.1:80 error="open: no \"=\""`,
		},
		"json": {
			JSON,
			`"level":"warn","msg":"batch not saved","part":"control","code":"a-code","state":"lame duck",` +
				`"wait":"1.5s","servers":["a","b"],"listen":"127.0.0.1:80","error":"open: no \"=\""}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			New(&text, c.format, slog.LevelInfo).With("part", "control").Warn("batch not saved",
				"code", "a-code", "state", state(1), "wait", 1500*time.Millisecond, "servers", []string{"a", "b"},
				"listen", "127.0.0.1:80", "nothing", error(nil),
				"error", cockroach.Wrap(cockroach.New(`no "="`), "open"), // with a stack trace, which is not written
			)
			head, got, _ := strings.Cut(strings.TrimSuffix(text.String(), "\n"), c.want[:7])
			if got = c.want[:7] + got; got != c.want || !strings.Contains(head, "time") {
				t.Errorf("got %s, want a time and\n%s", text.String(), c.want)
			}
		})
	}
}

func TestLevels(t *testing.T) {
	for name, c := range map[string]struct{ level, want string }{
		"debug":   {"debug", "debug info warn error"},
		"default": {"", "info warn error"},
		"info":    {"info", "info warn error"},
		"warn":    {"warn", "warn error"},
		"error":   {"error", "error"},
	} {
		t.Run(name, func(t *testing.T) {
			level, err := ParseLevel(c.level)
			if err != nil {
				t.Fatal(err)
			}
			var text strings.Builder
			var inForce slog.LevelVar // changed after the logger was made
			logger := New(&text, Logfmt, &inForce)
			inForce.Set(level)
			logger.Debug("m")
			logger.Info("m")
			logger.Warn("m")
			logger.Error("m")
			var got []string
			for line := range strings.Lines(text.String()) {
				got = append(got, strings.TrimPrefix(strings.Fields(line)[1], "level="))
			}
			if strings.Join(got, " ") != c.want {
				t.Errorf("levels written: got %v, want %s", got, c.want)
			}
		})
	}
}

func TestParseErrors(t *testing.T) {
	if _, err := ParseLevel("warning"); !errors.Is(err, ErrUnknownLevel) {
		t.Errorf("level: got %v, want %v", err, ErrUnknownLevel)
	}
	if _, err := ParseFormat("xml"); !errors.Is(err, ErrUnknownFormat) {
		t.Errorf("format: got %v, want %v", err, ErrUnknownFormat)
	}
	for text, want := range map[string]Format{"": Logfmt, "logfmt": Logfmt, "text": Logfmt, "json": JSON} {
		if got, err := ParseFormat(text); err != nil || got != want {
			t.Errorf("format %q: got %v, %v, want %v", text, got, err, want)
		}
	}
}

// BenchmarkLine measures the line of an ended connection.
func BenchmarkLine(b *testing.B) {
	err := errors.New("read tcp 127.0.0.1:80: connection reset by peer")
	for name, logger := range map[string]*slog.Logger{
		"logfmt": New(io.Discard, Logfmt, slog.LevelInfo),
		"json":   New(io.Discard, JSON, slog.LevelInfo),
		"off":    New(io.Discard, Logfmt, slog.LevelError),
		"none":   slog.New(slog.DiscardHandler),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			from, requests := net.IPv4(127, 0, 0, 1).String(), 0
			for b.Loop() {
				requests++
				logger.Info("client connection ended",
					"code", "client-reset", "from", from, "requests", 1000+requests, "error", err)
			}
		})
	}
}
