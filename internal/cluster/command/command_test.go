package command

import (
	"errors"
	"fmt"
	"testing"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/cluster/metrics"
	"mulleinrouter/internal/cluster/settings"
)

func TestParseServeCommand(t *testing.T) {
	for name, c := range map[string]struct {
		args   []string
		want   ServeOptions
		wantOK bool
	}{
		"serve": {args: []string{"serve"}, wantOK: true},
		"serve with metrics": {
			[]string{"serve", "--metrics", "9464/m"},
			ServeOptions{metrics.Endpoint{Port: 9464, Path: "/m"}},
			true,
		},
		"a bad endpoint":     {args: []string{"serve", "--metrics", "m"}},
		"another command":    {args: []string{"check"}},
		"a further argument": {args: []string{"serve", "file"}},
		"no command":         {},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := parseServeCommand(c.args)
			if ok != c.wantOK || ok && got != c.want {
				t.Errorf("got %v, %t, want %v, %t", got, ok, c.want, c.wantOK)
			}
		})
	}
}

func TestExitCode(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want int
	}{
		"done":                     {nil, 0},
		"failed":                   {errors.New("failed"), 1},
		"unusable settings":        {&commandline.SettingsError{Err: settings.ErrNoFile}, 3},
		"wrapped unusable setting": {fmt.Errorf("start: %w", &commandline.SettingsError{Err: settings.ErrNoFile}), 3},
	} {
		t.Run(name, func(t *testing.T) {
			if got := exitCode(c.err); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}
