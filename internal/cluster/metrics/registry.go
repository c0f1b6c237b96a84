package metrics

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"mulleinrouter/internal/cluster/retry"
)

const (
	namespace      = "mulleinrouter" // prefix of all metrics
	requestTimeout = 5 * time.Second // for reading a request, writing its answer, and an idle connection
)

// bindPolicy retries for about 5 s, because the previous process may still hold the port.
var bindPolicy = retry.Policy{Attempts: 20, Interval: 250 * time.Millisecond}

// Registry holds the metrics of a process. Register all of them before calling Serve.
type Registry struct {
	program  string
	registry *prometheus.Registry
}

// NewRegistry returns a registry for a program: control, agent or proxy. It holds the metrics that all programs have.
func NewRegistry(program string) *Registry {
	r := &Registry{program: program, registry: prometheus.NewRegistry()}
	started := time.Now()
	r.Gauge("uptime_seconds",
		"Time since the process started.",
		func() float64 { return time.Since(started).Seconds() })
	r.Gauge("goroutines", "Goroutines of the process.", func() float64 { return float64(runtime.NumGoroutine()) })
	return r
}

// options returns the options of the metric mulleinrouter_PROGRAM_NAME.
func (r *Registry) options(name, help string, labels prometheus.Labels) prometheus.Opts {
	return prometheus.Opts{Namespace: namespace, Subsystem: r.program, Name: name, Help: help, ConstLabels: labels}
}

// Gauge registers a metric that goes up and down. Its value is read at each request, from any goroutine.
func (r *Registry) Gauge(name, help string, value func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts(r.options(name, help, nil)), value))
}

// Flag registers a gauge that is 1 while a condition holds, and 0 otherwise.
func (r *Registry) Flag(name, help string, holds func() bool) {
	r.Gauge(name, help, func() float64 {
		if holds() {
			return 1
		}
		return 0
	})
}

// Counter registers a metric that only rises; its name ends in _total.
func (r *Registry) Counter(name, help string, value func() float64) {
	r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts(r.options(name, help, nil)), value))
}

// Sample is the label value of a series of a family, and the series' present value.
type Sample struct {
	Label string
	Value float64
}

// GaugeFamily registers gauges that differ in one label. The labels that samples returns must come from a bounded set.
func (r *Registry) GaugeFamily(name, help, label string, samples func() []Sample) {
	r.family(name, help, label, prometheus.GaugeValue, samples)
}

// CounterFamily registers counters that differ in one label, as GaugeFamily does; the name ends in _total.
func (r *Registry) CounterFamily(name, help, label string, samples func() []Sample) {
	r.family(name, help, label, prometheus.CounterValue, samples)
}

func (r *Registry) family(name, help, label string, kind prometheus.ValueType, samples func() []Sample) {
	fullName := prometheus.BuildFQName(namespace, r.program, name)
	r.registry.MustRegister(&family{
		desc:    prometheus.NewDesc(fullName, help, []string{label}, nil),
		kind:    kind,
		samples: samples,
	})
}

// family is a prometheus.Collector of series that differ in one label.
type family struct {
	desc    *prometheus.Desc
	kind    prometheus.ValueType
	samples func() []Sample
}

// Describe implements prometheus.Collector.
func (f *family) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- f.desc }

// Collect implements prometheus.Collector.
func (f *family) Collect(metrics chan<- prometheus.Metric) {
	for _, s := range f.samples() {
		metrics <- prometheus.MustNewConstMetric(f.desc, f.kind, s.Value, s.Label)
	}
}

// Write writes all metrics in the text format of Prometheus.
func (r *Registry) Write(w io.Writer) error {
	families, err := r.registry.Gather()
	if err != nil {
		return err
	}
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return err
		}
	}
	return nil
}

// ServeHTTP answers one request for the metrics.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	_ = r.Write(w) // the client may have disconnected
}

// Server describes where a program serves its metrics.
type Server struct {
	Program  string   // control, agent or proxy
	Endpoint Endpoint // the zero value means that metrics are not served
	Host     string   // the machine's IP address
	Log      log.Logger
}

// Serve serves the metrics that register adds, and those of all programs, until the context ends.
func (s Server) Serve(ctx context.Context, register func(*Registry)) {
	r := NewRegistry(s.Program)
	register(r)
	r.Serve(ctx, s.Endpoint, s.Host, s.Log)
}

// Serve serves the metrics at the endpoint on that host until the context ends. If the port stays in use, the process
// runs without metrics; this is logged and has no other effect.
func (r *Registry) Serve(ctx context.Context, endpoint Endpoint, host string, logger log.Logger) {
	if !endpoint.Enabled() {
		return
	}
	address := endpoint.Address(host)
	listener, err := retry.Listen(ctx, address, bindPolicy)
	if err != nil {
		if ctx.Err() == nil {
			level.Warn(logger).Log("msg", "metrics not served", "address", address, "err", err)
		}
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+endpoint.Path, r)
	server := &http.Server{
		Handler:      mux,
		ReadTimeout:  requestTimeout,
		WriteTimeout: requestTimeout,
		IdleTimeout:  requestTimeout,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	_ = server.Serve(listener) // ends with the context
}
