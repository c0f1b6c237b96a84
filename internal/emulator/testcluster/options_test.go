package testcluster

import (
	"context"
	"errors"
	"testing"
)

func TestRunRejectsOptions(t *testing.T) {
	valid := Options{Ingresses: 1, Members: 2, Seconds: 1, Load: 1}
	for _, test := range []struct {
		name   string
		change func(o *Options)
	}{
		{"no ingress", func(o *Options) { o.Ingresses = 0 }},
		{"one member", func(o *Options) { o.Members = 1 }},
		{"no time", func(o *Options) { o.Seconds = 0 }},
		{"no load", func(o *Options) { o.Load = 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := valid
			test.change(&o)
			if _, err := Run(context.Background(), o); !errors.Is(err, ErrInvalidOptions) {
				t.Errorf("Run: got %v, want %v", err, ErrInvalidOptions)
			}
		})
	}
}

func TestGroupOf(t *testing.T) {
	for _, test := range []struct {
		name    string
		changes bool
		want    []string // of the members from 0 on
	}{
		{"no change of plans", false, []string{"basic", "plus", "basic", "plus", "basic", "plus"}},
		{"change of plans", true, []string{"basic to plus", "plus", "basic", "plus", "basic", "plus to basic"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := Options{Changes: test.changes}
			for i, want := range test.want {
				if got := o.groupOf(i); got != want {
					t.Errorf("groupOf(%d): got %q, want %q", i, got, want)
				}
			}
		})
	}
}

func TestMemberNames(t *testing.T) {
	if got, want := memberName(10), "000000000000100a"; got != want {
		t.Errorf("memberName(10): got %q, want %q", got, want)
	}
	for _, test := range []struct {
		name string
		want int
	}{
		{"0000000000001000", 0},
		{"000000000000100a", 10},
		{"nobody", -1},
	} {
		if got := memberNumber(test.name); got != test.want {
			t.Errorf("memberNumber(%q): got %d, want %d", test.name, got, test.want)
		}
	}
}
