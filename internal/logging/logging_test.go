package logging

import (
	"errors"
	"io"
	"math"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	cockroach "github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// timePattern matches a line's time.
var timePattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}(Z|[+-]\d\d:\d\d)`)

// state has a String method, like the states that the programs log.
type state int

func (state) String() string { return "lame duck" }

func TestLines(t *testing.T) {
	for name, c := range map[string]struct {
		format Format
		want   string
	}{
		"logfmt": {
			Logfmt,
			`time=TIME level=warn msg="batch not saved" part=control code=a-code state="lame duck" wait=1.5s ` +
				`servers="[a b]" load=+Inf listen=127.0.0.1:80 error="open: no \"=\""`,
		},
		"json": {
			JSON,
			`{"code":"a-code","error":"open: no \"=\"","level":"warn","listen":"127.0.0.1:80","load":"+Inf",` +
				`"msg":"batch not saved","part":"control","servers":["a","b"],"state":"lame duck","time":"TIME",` +
				`"wait":"1.5s"}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			logger := log.With(New(&text, c.format, LevelInfo), "part", "control")
			level.Warn(logger).Log("msg", "batch not saved",
				"code", "a-code", "state", state(1), "wait", 1500*time.Millisecond, "servers", []string{"a", "b"},
				"load", math.Inf(1), "listen", "127.0.0.1:80", "nothing", error(nil),
				"error", cockroach.Wrap(cockroach.New(`no "="`), "open"), // the stack trace must not be written
			)
			if got := timePattern.ReplaceAllString(text.String(), "TIME"); got != c.want+"\n" {
				t.Errorf("got %s, want, with a time instead of TIME,\n%s", text.String(), c.want)
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
			parsed, err := ParseLevel(c.level)
			if err != nil {
				t.Fatal(err)
			}
			var text strings.Builder
			var minLevel LevelVar // set only after the logger was created
			logger := New(&text, Logfmt, &minLevel)
			minLevel.Set(parsed)
			level.Debug(logger).Log("msg", "m")
			level.Info(logger).Log("msg", "m")
			level.Warn(logger).Log("msg", "m")
			level.Error(logger).Log("msg", "m")
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

// formatCounter counts the calls of its String method.
type formatCounter int

func (c *formatCounter) String() string { *c++; return "text" }

// A value in a line below the level is not formatted, because lines that are logged for each connection would otherwise
// cost processor time even when they are dropped.
func TestDroppedLinesAreNotFormatted(t *testing.T) {
	var dropped, written formatCounter
	logger := New(io.Discard, Logfmt, LevelWarn)
	level.Info(logger).Log("msg", "m", "value", &dropped)
	level.Warn(logger).Log("msg", "m", "value", &written)
	if dropped != 0 || written != 1 {
		t.Errorf("formatted: %d times in a dropped line, %d in a written one; want 0 and 1", dropped, written)
	}
}

// BenchmarkLine measures the cost of the line that is logged when a client connection ends.
func BenchmarkLine(b *testing.B) {
	err := errors.New("read tcp 127.0.0.1:80: connection reset by peer")
	for name, logger := range map[string]log.Logger{
		"logfmt": New(io.Discard, Logfmt, LevelInfo),
		"json":   New(io.Discard, JSON, LevelInfo),
		"off":    New(io.Discard, Logfmt, LevelError),
		"none":   log.NewNopLogger(),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			from, requests := net.Addr(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 80}), 0
			for b.Loop() {
				requests++
				level.Info(logger).Log("msg", "client connection ended",
					"code", "client-reset", "from", from, "requests", 1000+requests, "error", err)
			}
		})
	}
}
