package loopback

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	serviceCheckInterval = time.Second // between two checks for services that an operator has added

	addedInstances = 2                     // number of servers of an added service, each in a different zone
	addedSlots     = 3                     // number of requests that such a server executes concurrently
	addedMeanWork  = 20 * time.Millisecond // mean execution time of a request at such a server

	// exampleTenant is the index of the tenant of the example request. It is not the first tenant, because the requests
	// that are sent during startup use some of the first tenant's quota.
	exampleTenant = 1
)

// Endpoints contains the addresses of a running cluster, and an example of a request.
type Endpoints struct {
	Machines []MachineEndpoints // core nodes first
	Example  ExampleRequest
}

// MachineEndpoints contains the addresses of a machine, each as host:port. An address that the machine does not have is
// empty.
type MachineEndpoints struct {
	Name      string
	Control   string // address for operators and servers
	Clients   string // address for clients
	Readiness string // address for readiness checks
	Processes []ProcessEndpoint
}

// ProcessEndpoint contains the ID of a process and the URL of its metrics, which is empty if it serves none.
type ProcessEndpoint struct {
	Program string
	PID     int
	Metrics string
}

// ExampleRequest is a request that matches a route of the first configuration. It is an idempotent GET request.
type ExampleRequest struct {
	Host, Path, Key string
	Timeout         time.Duration
}

// Serve starts a cluster without clients and faults, calls started once the cluster is serving, and stops it when ctx
// ends. It also starts servers for services that are added to the configuration. The answers of all servers describe
// the request and the server as text. Serve returns an error if the cluster could not be started. All processes and
// goroutines that it started have ended when it returns.
func Serve(ctx context.Context, o Options, started func(Endpoints)) error {
	o, err := o.complete()
	if err != nil {
		return err
	}
	transport := newTransport()
	defer transport.CloseIdleConnections()
	cl := newCluster(o, transport)
	cl.interactive = true
	if err := cl.createTopology(); err != nil {
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

// endpoints returns the addresses of a running cluster.
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

// serveAddedService starts servers of a service, unless the service is already known.
func (cl *cluster) serveAddedService(name string) {
	if _, known := cl.services[name]; known {
		return
	}
	cl.services[name] = serviceSpec{slots: addedSlots, instances: addedInstances, meanWork: addedMeanWork}
	for n := range addedInstances {
		cl.replaceServer(name, zoneName(n), anyPort, "v1")
	}
}

// plainBody returns a response body that describes the request and the server as text.
func (s *server) plainBody(e *exchange) []byte {
	tenant := e.arrival.Tenant
	if tenant == "" {
		tenant = "nobody"
	}
	return fmt.Appendf(nil, "%s %s, served by %s of %s in %s for %s\n",
		e.arrival.Method, e.arrival.Target, s.id, s.service, s.zone, tenant)
}

// pid returns the process ID of the latest incarnation; 0: the process was never started.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}
