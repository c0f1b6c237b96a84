package loopback

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	serviceCheckInterval = time.Second // between two looks for services that an operator added

	addedInstances = 2 // servers of a service that an operator added, each in a zone of its own
	addedSlots     = 3
	addedMeanWork  = 20 * time.Millisecond

	exampleTenant = 1 // the requests at the start use up some of the quota of the first one
)

// Endpoints are the addresses of a cluster that serves, and an example of a request.
type Endpoints struct {
	Machines []MachineEndpoints // core nodes first
	Example  ExampleRequest
}

// MachineEndpoints are the addresses of a machine, each as host:port. An empty one: the machine does not have it.
type MachineEndpoints struct {
	Name      string
	Control   string // for operators and servers
	Clients   string
	Readiness string
	Processes []ProcessEndpoint
}

// ProcessEndpoint is a process and the URL of its metrics; empty: it serves none.
type ProcessEndpoint struct {
	Program string
	PID     int
	Metrics string
}

// ExampleRequest is a request that the first configuration has a route for. It is a GET, and may be repeated.
type ExampleRequest struct {
	Host, Path, Key string
	Timeout         time.Duration
}

// Serve starts a cluster without clients and faults, calls started once it serves, and stops it when ctx ends. Servers
// of services that are added to the configuration are started too, and their answers say in words who gave them. It
// returns an error when the cluster could not be started. All processes and goroutines that it started have ended when
// it returns.
func Serve(ctx context.Context, o Options, started func(Endpoints)) error {
	o, err := o.complete()
	if err != nil {
		return err
	}
	transport := newTransport()
	defer transport.CloseIdleConnections()
	cl := newCluster(o, transport)
	cl.serving = true
	if err := cl.layOut(); err != nil {
		return err
	}
	err = cl.run(ctx, func() {
		cl.recorder.discard()
		started(cl.endpoints())
		cl.serveAddedServices()
	}, func() {})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// endpoints returns the addresses of a cluster that has started.
func (cl *cluster) endpoints() Endpoints {
	r := cl.live[cl.classes[0]][0]
	e := Endpoints{Example: ExampleRequest{
		Host:    r.host,
		Path:    r.prefix,
		Key:     cl.tenants[exampleTenant].keys[0],
		Timeout: r.class.deadline,
	}}
	for _, m := range cl.machines() {
		e.Machines = append(e.Machines, m.endpoints())
	}
	return e
}

func (m *machine) endpoints() MachineEndpoints {
	ports := m.cluster.ports
	e := MachineEndpoints{Name: m.name}
	if m.core {
		e.Control = m.address(ports.control)
	} else {
		e.Clients = m.address(ports.front)
		e.Readiness = m.address(ports.ready)
	}
	for _, p := range m.processes {
		endpoint := ProcessEndpoint{Program: p.program, PID: p.pid()}
		if m.cluster.options.Metrics {
			endpoint.Metrics = "http://" + m.address(p.metricsPort()) + metricsPath
		}
		e.Processes = append(e.Processes, endpoint)
	}
	return e
}

// serveAddedServices starts servers for services that operators add, until the traffic ends.
func (cl *cluster) serveAddedServices() {
	for n := 0; cl.sleepInTraffic(serviceCheckInterval); n++ {
		status, text := cl.operator.call(http.MethodGet, cl.coreAt(n), nil, callTimeout)
		if status != http.StatusOK {
			continue
		}
		items, err := decodeItems(text)
		if err != nil {
			continue
		}
		for key := range items {
			section, name, _ := strings.Cut(key, "/")
			if section == servicesSection {
				cl.serveAddedService(name)
			}
		}
	}
}

// serveAddedService starts the servers of a service that has none.
func (cl *cluster) serveAddedService(name string) {
	if _, known := cl.services[name]; known {
		return
	}
	cl.services[name] = serviceSpec{slots: addedSlots, instances: addedInstances, meanWork: addedMeanWork}
	for n := range addedInstances {
		cl.replaceServer(name, zoneName(n), anyPort, "v1")
	}
}

// plainBody is the body of a response for people.
func (s *server) plainBody(e *exchange) []byte {
	tenant := e.arrival.Tenant
	if tenant == "" {
		tenant = "nobody"
	}
	return fmt.Appendf(nil, "%s %s, served by %s of %s in %s for %s\n",
		e.arrival.Method, e.arrival.Target, s.id, s.service, s.zone, tenant)
}

// pid returns the process id of the latest incarnation; 0: it was never started.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}
