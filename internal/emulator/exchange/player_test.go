package exchange

import (
	"errors"
	"net"
	"strings"
	"testing"
)

// newTestPlayer returns a player whose clients connect to its listener, named server.
func newTestPlayer(t *testing.T) *Player {
	t.Helper()
	p := New(t, "server")
	p.Target = p.Addr("server")
	return p
}

func TestScripts(t *testing.T) {
	Each(t, "testdata/*.txt", func(t *testing.T, script string) {
		p := newTestPlayer(t)
		p.Hooks["upper"] = func(text string) string { return text }
		p.Play(script)
	})
}

// TestDifferences checks that a step whose result differs from the script is reported with the actual result.
func TestDifferences(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []string
		want  string // reported line of the last step
	}{
		{
			name:  "another line",
			steps: []string{"client > one", "server < two"},
			want:  "server < one",
		},
		{
			name:  "the first line that differs ends the step",
			steps: []string{"client > one", "client > two", `server < one\r\nthree\r\nfour`},
			want:  `server < one\r\ntwo`,
		},
		{
			name:  "other bytes",
			steps: []string{"client >> one", "server << two"},
			want:  "server << one",
		},
		{
			name:  "another request",
			steps: []string{"client > GET /a HTTP/1.1", "client >", "server takes GET /b"},
			want:  "server takes GET /a HTTP/1.1",
		},
		{
			name:  "another result of a hook",
			steps: []string{"@upper text"},
			want:  "@upper TEXT",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPlayer(t)
			p.Hooks["upper"] = strings.ToUpper
			got := playAll(t, p, test.steps)
			if got != test.want {
				t.Errorf("last step = %q, want %q", got, test.want)
			}
		})
	}
}

// playAll executes steps that must not return an error, and returns the line that describes the result of the last one.
func playAll(t *testing.T, p *Player, steps []string) (last string) {
	t.Helper()
	for _, step := range steps {
		played, err := p.playLine(step)
		if err != nil {
			t.Fatalf("%s: %v", step, err)
		}
		last = played
	}
	return last
}

func TestErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		before []string
		step   string
		want   error
	}{
		{"unknown hook", nil, "@absent", errUnknownHook},
		{"unknown verb", nil, "client shouts", errUnknownVerb},
		{"other bytes of a body", []string{"client >> xyz"}, "server gets 3 0", errUnexpectedBytes},
		{"other chunks", []string{`client >> 1\r\nx\r\n0\r\n\r\n`}, "server whole 1", errUnexpectedBytes},
		{"more before the end", []string{"client >> x", "client close"}, "server eof", errNotEnded},
		{"closed listener", []string{"server stop"}, "server accept", net.ErrClosed},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPlayer(t)
			playAll(t, p, test.before)
			if _, err := p.playLine(test.step); !errors.Is(err, test.want) {
				t.Errorf("%s: error %v, want %v", test.step, err, test.want)
			}
		})
	}
}
