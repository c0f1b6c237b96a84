package proxy

import (
	"testing"
	"time"
)

// TestIngressCount checks the assumed number of ingresses after a sequence of reports.
func TestIngressCount(t *testing.T) {
	type report struct {
		at      time.Duration
		members int // 0: no report
		want    int
	}
	for _, c := range []struct {
		name    string
		reports []report
	}{
		{"none", []report{{0, 0, defaultIngressCount}}},
		{"fewer than the default", []report{{0, 3, 3}}},
		{"rises at once", []report{{0, 3, 3}, {time.Second, 5, 5}}},
		{"falls after the retention", []report{
			{0, 11, 11},
			{time.Second, 10, 11},
			{memberCountRetention, 10, 11},
			{memberCountRetention + time.Second, 10, 10},
		}},
		{"stays while it is reported", []report{
			{0, 11, 11},
			{memberCountRetention, 11, 11},
			{memberCountRetention + time.Second, 10, 11},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var count ingressCount
			start := time.Now()
			for _, r := range c.reports {
				if r.members > 0 {
					count.observe(start.Add(r.at), r.members)
				}
				if got := count.value(r.at, 0); got != r.want {
					t.Errorf("after %s: got %d, want %d", r.at, got, r.want)
				}
			}
		})
	}
}

// Guards against a part of a quota that is granted twice: many ingresses that lost power together return together, and
// each of them assumed that only those which had stayed share the quota with it. Later the recent number must not count
// any more, because an ingress that assumes too many others admits less than its part of the quota.
func TestNewIngressAssumesRecentMembers(t *testing.T) {
	const stayed, all = 4, 11
	for _, c := range []struct {
		age             time.Duration
		members, recent int
		want            int
	}{
		{0, stayed, all, all},
		{newProcessSpan - time.Millisecond, stayed, all, all},
		{newProcessSpan, stayed, all, stayed},
		{0, all, stayed, all},
		{0, stayed, 0, stayed}, // from an agent of an earlier version
	} {
		var count ingressCount
		start := time.Now()
		for at := time.Duration(0); at < c.age; at += time.Second {
			count.observe(start.Add(at), c.members)
			count.value(at, c.recent)
		}
		count.observe(start.Add(c.age), c.members)
		if got := count.value(c.age, c.recent); got != c.want {
			t.Errorf("at %v with %d members, %d recently: got %d, want %d", c.age, c.members, c.recent, got, c.want)
		}
	}
}
