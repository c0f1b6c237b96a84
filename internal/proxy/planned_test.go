package proxy

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/dataplane/engine"
	"mulleinrouter/internal/dataplane/ingress"
	"mulleinrouter/internal/decision"
)

// TestSilenceEndsNothingRoundWhatIsPlanned has a server fall silent while another is free. On an ordinary day the request goes on to that
// one; where the machine leaves, its settings are read anew or a configuration comes into force, the request stays where it is.
func TestSilenceEndsNothingRoundWhatIsPlanned(t *testing.T) {
	const apply = 2.5
	type when struct{ ago, in time.Duration } // what is planned happens so long before the request comes, or after
	for name, tc := range map[string]struct {
		planned func(b *Proxy, hup chan os.Signal)
		when
		given bool
	}{
		"an ordinary day":                 {planned: func(*Proxy, chan os.Signal) {}, given: true},
		"SIGTERM while it is out":         {planned: func(b *Proxy, _ chan os.Signal) { b.announceShutdown() }, when: when{in: 100 * time.Millisecond}},
		"SIGTERM before it":               {planned: func(b *Proxy, _ chan os.Signal) { b.announceShutdown() }, when: when{ago: 2 * time.Second}},
		"SIGHUP while it is out":          {planned: hangUp, when: when{in: 100 * time.Millisecond}},
		"SIGHUP before it":                {planned: hangUp, when: when{ago: 3400 * time.Millisecond}},
		"SIGHUP long before it":           {planned: hangUp, when: when{ago: 3600 * time.Millisecond}, given: true},
		"a configuration while it is out": {planned: change, when: when{in: 100 * time.Millisecond}},
		"a configuration before it":       {planned: change, when: when{ago: 3400 * time.Millisecond}},
		"a configuration long before it":  {planned: change, when: when{ago: 3600 * time.Millisecond}, given: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := &decision.Settings{Gateways: 1, MaxAttempts: 2, MayCancel: true, CapacityInSlots: true}
				o := &controlFeed{shedder: newShedder(0), log: log.NewNopLogger(), base: time.Now(), store: replication.NewStore(1), ready: make(chan struct{}),
					bounds: func() settings.Bounds { return settings.Bounds{ConfigApply: apply} }}
				o.table.Store(configuration.NewRoutingTable())
				o.engine = engine.New(decision.New(*s, 1), s, engine.NewClock())
				o.started = true
				o.engine.SetBackends(decision.Backends{List: []decision.Backend{{ID: "a", Serving: true, Size: 9}, {ID: "b", Serving: true, Size: 9}}})
				b := &Proxy{log: o.log, control: o, server: ingress.New(s, o.engine, nil, 9, quiet())}
				hup := make(chan os.Signal)
				passed := b.forwardHangups(ctx, hup)
				go func() {
					for ctx.Err() == nil {
						select {
						case <-passed:
						case <-ctx.Done():
						}
					}
				}()
				if tc.in == 0 {
					tc.planned(b, hup)
					time.Sleep(tc.ago)
				}
				class := &decision.Class{Name: "r", LatencyTarget: 0.2, Deadline: 8, Value: 1, LateValue: 0.5, MaxAttempts: 2, SlowAttemptFactor: patience, Effect: decision.Idempotent}
				ticket := o.engine.Submit(decision.Request{Class: "r", Kind: class, TimeLeft: 8, Units: 1, Terms: anonymousTerms, Gateways: 1}, func() {})
				d := ticket.Next()
				is.Equal(d.Kind, engine.Send)
				is.True(d.SlowAfter > 0)
				if tc.in > 0 {
					time.Sleep(tc.in)
					tc.planned(b, hup)
				}
				time.Sleep(d.SlowAfter)
				is.Equal(ticket.ShouldAbandon(), tc.given)
				time.Sleep(time.Second)
				is.Equal(ticket.ShouldAbandon(), tc.given) // nor later
				if tc.given {
					ticket.AttemptEnded(decision.TimedOut)
					other := ticket.Next()
					is.Equal(other.Kind, engine.Send)
					is.True(other.Backend != d.Backend)
				}
			})
		})
	}
}

func hangUp(_ *Proxy, hup chan os.Signal) {
	hup <- syscall.SIGHUP
	synctest.Wait()
}

func change(b *Proxy, _ chan os.Signal) {
	items, err := configuration.ReadPatch([]byte(testConfig))
	if err != nil {
		panic(err)
	}
	b.control.applyUpdate(&transport.Update{Items: items})
}

// What is given up on a leaving machine is given up in the second half of the grace, and answered before its end.
func TestParting(t *testing.T) {
	is := is.New(t)
	for grace := 2 * time.Second; grace <= 30*time.Second; grace += 100 * time.Millisecond {
		serve, finish := shutdownTimes(grace)
		is.True(serve+finish >= grace/2)        // LOST counts what is given up before
		is.True(serve+finish+drainRest < grace) // time for the last answers
		is.True(serve <= handOverTime)          // longer than the platform needs to hear
		is.True(grace < 6*time.Second || serve == handOverTime)
	}
}
