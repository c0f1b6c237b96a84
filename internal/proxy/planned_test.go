package proxy

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/logging/logtest"
)

// TestPlannedDisruptionsKeepAttempts checks what happens to an attempt whose server becomes silent while another server
// is free. Usually the proxy abandons it and sends the request to the other server. While the proxy shuts down, or just
// after its settings were reread or a configuration took effect, the attempt must continue.
func TestPlannedDisruptionsKeepAttempts(t *testing.T) {
	const apply = 2.5
	type when struct{ ago, in time.Duration } // time of the disruption before (ago) or after (in) the request was sent
	for name, tc := range map[string]struct {
		planned func(p *Proxy, hangups chan os.Signal)
		when
		abandoned bool
	}{
		"no disruption": {planned: func(*Proxy, chan os.Signal) {}, abandoned: true},
		"SIGTERM while it is out": {
			planned: func(p *Proxy, _ chan os.Signal) { p.beginShutdown() },
			when:    when{in: 100 * time.Millisecond},
		},
		"SIGTERM before it": {
			planned: func(p *Proxy, _ chan os.Signal) { p.beginShutdown() },
			when:    when{ago: 2 * time.Second},
		},
		"SIGHUP while it is out": {planned: sendHangup, when: when{in: 100 * time.Millisecond}},
		"SIGHUP before it":       {planned: sendHangup, when: when{ago: 3400 * time.Millisecond}},
		"SIGHUP long before it": {
			planned:   sendHangup,
			when:      when{ago: 3600 * time.Millisecond},
			abandoned: true,
		},
		"a configuration while it is out": {planned: applyTestConfig, when: when{in: 100 * time.Millisecond}},
		"a configuration before it":       {planned: applyTestConfig, when: when{ago: 3400 * time.Millisecond}},
		"a configuration long before it": {
			planned:   applyTestConfig,
			when:      when{ago: 3600 * time.Millisecond},
			abandoned: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := &decision.Settings{Gateways: 1, MaxAttempts: 2, MayCancel: true, CapacityInSlots: true}
				feed := &controlFeed{
					shedder:   newShedder(0),
					log:       logtest.Discard(),
					startedAt: time.Now(),
					store:     replication.NewStore(1),
					ready:     make(chan struct{}),
					bounds:    func() settings.Bounds { return settings.Bounds{ConfigApply: apply} },
				}
				feed.table.Store(configuration.NewRoutingTable())
				feed.engine = engine.New(decision.New(*s, 1), s, engine.NewClock())
				feed.engineStarted = true
				feed.engine.SetBackends(decision.Backends{
					List: []decision.Backend{{ID: "a", Serving: true, Size: 9}, {ID: "b", Serving: true, Size: 9}},
				})
				p := &Proxy{
					log: feed.log, control: feed,
					ingress: ingress.New(s, feed.engine, nil, 9, logtest.Discard()),
				}
				hangups := make(chan os.Signal)
				forwarded := p.forwardHangups(ctx, hangups)
				go func() {
					for ctx.Err() == nil {
						select {
						case <-forwarded:
						case <-ctx.Done():
						}
					}
				}()
				if tc.in == 0 {
					tc.planned(p, hangups)
					time.Sleep(tc.ago)
				}
				class := &decision.Class{
					Name:              "r",
					LatencyTarget:     0.2,
					Deadline:          8,
					Value:             1,
					LateValue:         0.5,
					MaxAttempts:       2,
					SlowAttemptFactor: slowAttemptFactor,
					Effect:            decision.Idempotent,
				}
				ticket := feed.engine.Submit(decision.Request{
					Class:      "r",
					ClassTerms: class,
					TimeLeft:   8,
					Units:      1,
					Terms:      anonymousTerms,
					Gateways:   1,
				}, func() {})
				d := ticket.Next()
				is.Equal(d.Kind, engine.Send)
				is.True(d.SlowAfter > 0)
				if tc.in > 0 {
					time.Sleep(tc.in)
					tc.planned(p, hangups)
				}
				time.Sleep(d.SlowAfter)
				is.Equal(ticket.ShouldAbandon(), tc.abandoned)
				time.Sleep(time.Second)
				is.Equal(ticket.ShouldAbandon(), tc.abandoned) // nor does it change later
				if tc.abandoned {
					ticket.AttemptEnded(decision.TimedOut)
					other := ticket.Next()
					is.Equal(other.Kind, engine.Send)
					is.True(other.Backend != d.Backend)
				}
			})
		})
	}
}

func sendHangup(_ *Proxy, hangups chan os.Signal) {
	hangups <- syscall.SIGHUP
	synctest.Wait()
}

func applyTestConfig(p *Proxy, _ chan os.Signal) {
	items, err := configuration.ReadPatch([]byte(testConfig))
	if err != nil {
		panic(err)
	}
	p.control.applyUpdate(&transport.Update{Items: items})
}

// TestShutdownTimes checks that a shutdown aborts requests only in the second half of the grace, and leaves time to
// answer them before its end.
func TestShutdownTimes(t *testing.T) {
	is := is.New(t)
	for grace := 2 * time.Second; grace <= 30*time.Second; grace += 100 * time.Millisecond {
		serve, finish := shutdownTimes(grace)
		is.True(serve+finish >= grace/2)              // LOST counts requests that are aborted earlier
		is.True(serve+finish+finalAnswerTime < grace) // leaves time for the last answers
		is.True(serve <= maxHandoverTime)             // the platform notices within maxHandoverTime
		is.True(grace < 6*time.Second || serve == maxHandoverTime)
	}
}
