package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/replication"
	"mulleinrouter/internal/control/instances"
)

const (
	maxHeartbeatBytes     = 4 << 10 // limit of the body of a server's call, bytes
	maxIDLength           = 256     // limit of the id of an instance, bytes
	maxCapacity           = 1 << 16 // limit of the capacity of an instance, concurrent requests
	maxSlowStartSeconds   = 600.0   // a longer slow start is shortened to this time
	millisecondsPerSecond = 1000
)

// heartbeatBody is the body of PUT /instances/{id}.
type heartbeatBody struct {
	Address string `json:"address"` // IP address with port
	Summary struct {
		Backend    string `json:"backend"` // name of the service
		Generation string `json:"generation"`
		Zone       string `json:"zone"`
		Capacity   int    `json:"capacity"` // concurrent requests
	} `json:"summary"`
	Observed struct {
		Phase       string  `json:"phase"` // "serving" or "draining"
		CallSeq     uint64  `json:"callSeq"`
		SlowStartMs float64 `json:"coldLeftMs"` // time until the slow start ends, milliseconds
	} `json:"observed"`
}

// parseInstance parses and checks a server's heartbeat. The clock is the common clock of the control nodes. In the
// names of this protocol, such as callSeq, a "call" is a heartbeat or a DELETE of a server.
func parseInstance(id string, body []byte, clock *replication.Clock) (registry.Instance, error) {
	var none registry.Instance
	if !properID(id) {
		return none, badRequest("no proper id")
	}
	var b heartbeatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return none, badRequest("the body cannot be read")
	}
	instance := registry.Instance{
		ID:         id,
		Service:    b.Summary.Backend,
		Address:    b.Address,
		Zone:       b.Summary.Zone,
		Generation: b.Summary.Generation,
		Capacity:   b.Summary.Capacity,
		Seq:        b.Observed.CallSeq,
	}
	switch b.Observed.Phase {
	case "serving":
	case "draining":
		instance.Phase = registry.Draining
	default:
		return none, badRequest("phase: neither serving nor draining")
	}
	serving := instance.Phase == registry.Serving
	if _, err := netip.ParseAddrPort(instance.Address); err != nil && (instance.Address != "" || serving) {
		return none, badRequest("address: not an IP address with a port")
	}
	if instance.Service == "" && serving {
		return none, badRequest("backend: missing")
	}
	if instance.Capacity < 0 || instance.Capacity > maxCapacity {
		return none, badRequest("capacity: out of bounds")
	}
	if slowStart := b.Observed.SlowStartMs / millisecondsPerSecond; slowStart > 0 {
		instance.SlowStartUntil = clock.Now() + min(slowStart, maxSlowStartSeconds)
	}
	if !instance.Valid() {
		return none, badRequest("not a proper line")
	}
	return instance, nil
}

// properID reports whether an id can be an instance's. It is sent to servers in a header and to other processes in
// frames, which are rejected as a whole if a text in them is not UTF-8.
func properID(id string) bool {
	return id != "" && len(id) <= maxIDLength && utf8.ValidString(id) && !strings.ContainsFunc(id, unicode.IsControl)
}

// putInstance records a heartbeat. If the server drains, agents are notified at once, but the heartbeat is acknowledged
// only when enough disks hold the departure, so that it can't be lost.
func (s *Server) putInstance(r *http.Request, body []byte) (reply, error) {
	instance, err := parseInstance(r.PathValue("id"), body, s.options.Clock)
	if err != nil {
		return reply{}, err
	}
	instance, acknowledged := s.options.Instances.Heartbeat(instance)
	if instance.Phase < registry.Draining || acknowledged {
		return okReply, nil
	}
	return s.acknowledgeDeparture(r, instance)
}

// deleteInstance records that a server has ended.
func (s *Server) deleteInstance(r *http.Request, _ []byte) (reply, error) {
	id := r.PathValue("id")
	if !properID(id) {
		return reply{}, badRequest("no proper id")
	}
	instance, acknowledged := s.options.Instances.Depart(id)
	if acknowledged {
		return okReply, nil
	}
	return s.acknowledgeDeparture(r, instance)
}

// acknowledgeDeparture waits until enough disks hold the departure of an instance.
func (s *Server) acknowledgeDeparture(r *http.Request, instance registry.Instance) (reply, error) {
	ctx, cancel := context.WithTimeout(r.Context(), instances.DepartureTimeout)
	defer cancel()
	if !s.options.Departures.Replicate(ctx, instance) {
		return reply{}, ErrNotPersisted
	}
	return okReply, nil
}
