package node

import (
	"strconv"
	"strings"

	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/fleet/membership"
	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/mgmt"
)

// handleFleetCall answers the calls about the fleet at the management address.
func (n *Node) handleFleetCall(word, arguments string) (bool, []string) {
	switch word {
	case "FLEET": // FLEET [VIEW]: the members, and the changes after a view
		after, err := strconv.ParseUint(arguments, 10, 64)
		if arguments != "" && err != nil {
			return false, nil
		}
		return jsonAnswer(n.fleet.Report(after))
	case "LINKS": // from which members each member receives
		return jsonAnswer(n.fleet.LinkNames())
	case "DUTIES", "GIVE", "VOTERS": // DUTIES; GIVE DUTY NAME; VOTERS add|remove NAME
		if n.leases == nil {
			return false, nil
		}
		return n.handleLeaseCall(word, strings.Fields(arguments))
	case "CATALOGUE": // the announced revisions
		if n.announcer == nil {
			return false, nil
		}
		return jsonAnswer(n.announcer.Status())
	case "STATE": // STATE [CUSTOMER]: shared quotas of one or all customers, and servers that enough ingresses warn of
		if n.quotaSync == nil {
			return false, nil
		}
		return jsonAnswer(n.quotaSync.Report(arguments))
	case "TURN": // whether this ingress may be restarted now
		return n.fleet.RestartAllowed(), nil
	default:
		return false, nil
	}
}

// jsonAnswer returns the answer with a value as one line of JSON.
func jsonAnswer(v any) (bool, []string) {
	text, err := jsontext.Encode(v)
	if err != nil {
		return false, nil
	}
	return true, []string{string(text), endOfAnswer}
}

// handleLeaseCall forwards a call about leases to the leader of the voters, and returns its answer.
func (n *Node) handleLeaseCall(word string, arguments []string) (bool, []string) {
	var answer *leaseservice.Status
	var err error
	switch {
	case word == "DUTIES" && len(arguments) == 0:
		answer, err = n.leases.Status()
	case word == "GIVE" && len(arguments) == 2:
		answer, err = n.leases.Transfer(arguments[0], arguments[1])
	case word == "VOTERS" && len(arguments) == 2 && (arguments[0] == "add" || arguments[0] == "remove"):
		answer, err = n.leases.ChangeVoters(arguments[1], arguments[0] == "add")
	default:
		return false, nil
	}
	if err != nil {
		return false, []string{err.Error()}
	}
	text, err := jsontext.Encode(answer)
	return err == nil, []string{string(text), endOfAnswer}
}

// reachabilityGauge has the values of the gauge ingress.fleet_sure by the name of the reachability level.
var reachabilityGauge = map[string]int64{
	membership.Partitioned.String(): 0,
	membership.Majority.String():    1,
	membership.Complete.String():    2,
}

// fleetStats returns the statistics of INFO about the fleet.
func (n *Node) fleetStats() []string {
	report := n.fleet.Report(0)
	return append(n.quotaSyncStats(),
		mgmt.Gauge("ingress.fleet_view", int64(report.View)),
		mgmt.Gauge("ingress.fleet_heard", int64(report.Alive)),
		mgmt.Gauge("ingress.fleet_agreed", int64(report.Agreed)),
		mgmt.Gauge("ingress.fleet_sure", reachabilityGauge[report.Reachability]),
		mgmt.Count("ingress.fleet_stalls", int64(report.Pauses)),
		mgmt.Count("ingress.fleet_refused", report.Rejected),
		mgmt.Count("ingress.fleet_packets_out", report.Traffic.PacketsOut),
		mgmt.Count("ingress.fleet_bytes_out", report.Traffic.BytesOut))
}

// quotaSyncStats returns the statistics of INFO about shared quotas, or nil if quotas are not shared.
func (n *Node) quotaSyncStats() []string {
	if n.quotaSync == nil {
		return nil
	}
	report := n.quotaSync.Report("-") // no customer has this name, so the report has no details of customers
	trusted := int64(0)
	if report.CounterTrusted {
		trusted = 1
	}
	return []string{
		mgmt.Gauge("ingress.share_trusted", trusted),
		mgmt.Gauge("ingress.share_given", int64(report.Lent)),
		mgmt.Gauge("ingress.share_taken", int64(report.Borrowed)),
		mgmt.Gauge("ingress.share_warned", int64(len(report.WarnedServers))),
		mgmt.Count("ingress.share_refused", int64(report.Rejected)),
	}
}
