package cli

import (
	"strings"

	"github.com/alecthomas/kong"

	"mulleinrouter/internal/standalone/cli/completion"
)

// helpTexts are the help texts that are too long for their struct tags, which refer to them as ${key}. A key consists
// of the path of commands and the name of the field, except where that is too long or several commands share the text.
var helpTexts = kong.Vars{
	"bookingsAdd":      "Book units for a member and a span. Refused with what would fit if there is no room.",
	"bookingsCancel":   "Cancel a booking. What it would still have allowed is free again.",
	"watchedCatalogue": "The catalogue that ingresses watch.",
	"checkFile": "A configuration (.hcl, or .json as the platform gives it), a catalogue of plans, or a settings " +
		"file of a proxy, an agent or a control node.",
	"checkProgram": "Program that a settings file is for: proxy, agent or control. Default: those of its role or " +
		"its class of machine.",
	"shells": strings.Join(completion.Shells, ","),
	"logLevel": "Least severe level of the log: debug, info, warn or error. Default: what the configuration says, " +
		"or info.",
	"logFormat": "Form of the log: logfmt or json. Default: what the configuration says, or logfmt.",
	"serve": "Serve clients (the default). Without -c, the configuration is that of NODE_CONFIG, as the " +
		"platform gives it.",
	"check": "Check a configuration, a catalogue of plans or a settings file, and say what is in it. Each error is " +
		"reported with its file, line and column or key.",
	"shards":        "Show who holds the lease of each shard of locks and cells, and how far behind its replicas are.",
	"transferShard": "Have the leaseholder of a shard hand it to another voter.",
	"members":       "Show which control nodes are voters, which are learners, and how far behind they are.",
	"replace":       "Have a learner take the place of a voter.",
	"completion":    "Print a script that completes this command line in a shell.",
	"version":       "Say which version this is, with its commit and Go's.",
	"bookings":      "Book allowance ahead for a member, list bookings, cancel one.",
	"modelCheck":    "Look for violations of the rules in the code as it is.",
	"try": "Run the complete gateway on this machine with stand-in servers and clients, change its " +
		"configuration and kill a proxy midway, and show what was served.",
	"tryIngress": "Run ingresses in service instead, among stand-ins of their own, change a plan midway, and show " +
		"what was served and billed.",
	"tryServe": "Leave the gateway running without clients and faults, with its addresses printed, until Ctrl-C.",
	"tryLoad": "Request rate of the clients, as a multiple of 120 requests a second, or of the members' quotas " +
		"with --ingress.",
	"tryFor":  "How long clients send requests.",
	"tryEdge": "Edge machines, each with a proxy and an agent.",
	"tryBin": "Folder of the programs proxy, agent and control. Default: where this program is, or else they are " +
		"built, in a checkout.",
	"tryPort": "The first of nine ports of each machine, that for clients. Default: free ones.",
	"trySchedule": "Faults to inject in place of the usual ones: a file of lines \"SECONDS NAME [TARGET]\", names " +
		"joined by commas (emulator try --list), or none.",
	"tryKill":   "Kill an ingress in the middle, and start it again.",
	"tryFaults": "Make quote servers and billing fail now and then.",
	"faultTest": "Play a scenario of faults on ingresses that it starts on this machine, and check what is " +
		"expected of them.",
	"faultTestFile": "A scenario: a file, or one of those that ship (deploy/faulttests) by its name, such as " +
		"duty-holder.",
	"faultTestRepeat": "Number of runs, with consecutive seeds. For several runs, the medians and worst values over " +
		"all runs are printed.",
	"fleetMembers": "Show the members, what state they are in, and how much of the fleet the ingress hears from.",
	"fleetLeases":  "Show who holds which duty, who waits for it, and who held it before.",
	"fleetPlans":   "Show which revisions of the catalogue were announced, and by whom.",
	"fleetVoters":  "Show, add, remove or replace those that agree on who holds a duty.",
	"fleetState": "Show what an ingress shares with the others: who has how much of a member's quota, and " +
		"which servers are warned of.",
	"fleetTurn": "Wait until this ingress may be restarted: it reaches the complete fleet, and no other " +
		"ingress is starting, drained or leaving.",
	"ingressMgmt":        "Management address of the ingress that is asked.",
	"fleetLeaseTransfer": "Have its holder give a duty up, and a named ingress have it next.",
	"voterActions":       "list,add,remove,replace",
	"voterAction":        "list, add NAME, remove NAME, or replace OLD NEW.",
	"modelCheckStates": "Go through every order of a few events, and check the rules after each. Exit code 1 if one " +
		"is broken.",
	"plansDiff": "Show what differs from one catalogue's last revision to another's. Exit code 1 if anything " +
		"does.",
	"plansApply": "Add the last revision of one catalogue to another, which ingresses watch.",
	"plansStartIn": "How long from now on it holds, such as 30s: time for all ingresses to hear of it. 0 for at " +
		"once.",
	"plansApplyTo":    "The catalogue that ingresses watch. It is made if it is not there.",
	"serveConfig":     "Configuration of our own form (HCL), such as deploy/single.hcl.",
	"tryLease":        "Show a duty instead: the ingress that exports all usage is killed, and another takes over.",
	"tryDir":          "Folder for logs and data; it stays. Default: a temporary one.",
	"usageVerify":     "Check segments and batches, and that they match. Exit code 1 if they do not.",
	"usageExportKeep": "Segments that were acknowledged stay for this long.",
	"usageShowBy":     "What to add up by: member, plan, class, minute, or all rows one by one.",
}
