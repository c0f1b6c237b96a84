package faulttest

import (
	"cmp"
	cryptorand "crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinrouter/internal/emulator/fakes"
	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/emulator/testcluster"
	"mulleinrouter/internal/standalone/discovery"
)

const (
	quoteServerCores       = 16                   // number of requests that a quote server executes at the same time
	quoteServerQueue       = 64                   // number of further requests that may wait at a quote server
	quoteServerServiceTime = 2 * time.Millisecond // execution time of a request

	gossipKeyBytes = 32 // size of a key for AES-256

	minPort      = 10000 // lowest port of a member
	portSpan     = 20000 // size of the range of ports of members, which ends below the ephemeral ports
	portAttempts = 200   // number of pairs of ports that are tried, because other processes may use some
)

// environment holds the members of a fault test with their relays, and the fakes.
type environment struct {
	scenario      *Scenario
	program       string
	dir           string
	links         *faultnet.Links
	addressPrefix string // first three numbers of the members' addresses
	nodes         []*node
	gossipKeys    []string // the first one encrypts

	billing       *fakes.Billing
	quoteServers  []*fakes.QuoteServer
	directories   []*fakes.Discovery
	counter       *counter
	extraCounters []*counter   // those that replace the first one or run in addition to it
	busyShift     atomic.Int64 // number of ingresses by which each customer's busy ingress has moved

	mu         sync.Mutex        // guards the fields below, because twins are added while relays serve
	memberByIP map[string]string // names of members by the IP address that they connect from
	relays     []*faultnet.Relay
}

// environments counts the environments of this process, for newAddressPrefix.
var environments atomic.Int64

// newEnvironment starts the fakes and the relays, and writes the files that all members read. The environment must be
// closed after an error, too.
func newEnvironment(scenario *Scenario, program, dir string) (*environment, error) {
	e := &environment{
		scenario:      scenario,
		program:       program,
		dir:           dir,
		links:         faultnet.NewLinks(scenario.Seed),
		addressPrefix: newAddressPrefix(),
		memberByIP:    map[string]string{},
	}
	if err := e.startSharedFakes(); err != nil {
		return e, err
	}
	if scenario.Encrypted {
		e.gossipKeys = []string{newGossipKey()}
	}
	for i, name := range scenario.Names() {
		if err := e.addNode(name, fmt.Sprintf("%s.%d", e.addressPrefix, i+1)); err != nil {
			return e, err
		}
	}
	return e, e.writeGossipKeys()
}

// newAddressPrefix picks a loopback network that very probably no other fault test uses, because a port that a member
// closes must not be reused by a member of another fault test. The networks of one process are 1009 apart, so that they
// differ from those of processes with consecutive IDs.
func newAddressPrefix() string {
	n := os.Getpid() + 1009*int(environments.Add(1))
	return fmt.Sprintf("127.%d.%d", 64+n/200%64, 1+n%200)
}

// startSharedFakes starts the fakes that all members share.
func (e *environment) startSharedFakes() (err error) {
	for i := range max(1, e.scenario.QuoteServers) {
		server := &fakes.QuoteServer{
			Cores:       quoteServerCores,
			Queue:       quoteServerQueue,
			ServiceTime: quoteServerServiceTime,
			Salt:        uint64(i),
		}
		if err := server.Start(); err != nil {
			return err
		}
		e.quoteServers = append(e.quoteServers, server)
	}
	billing := &fakes.Billing{}
	if err := billing.Start(); err != nil {
		return err
	}
	e.billing = billing
	e.counter, err = startCounter()
	return err
}

// addNode adds a member: its folder, its addresses and its relays.
func (e *environment) addNode(name, ip string) (err error) {
	n := &node{name: name, ip: ip, dir: filepath.Join(e.dir, name)}
	n.savedDir = n.dir + ".saved"
	e.setMember(ip, name)
	e.nodes = append(e.nodes, n)
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return wrapSetup(err)
	}
	if e.scenario.Catalogue {
		if err := e.writeRevision(n, firstRevision); err != nil {
			return err
		}
	}
	if n.clientAddr, n.gossipAddr, err = freeAddrs(ip); err != nil {
		return err
	}
	if n.relay, err = e.addGossipRelay(name, n.gossipAddr); err != nil {
		return err
	}
	return e.addFakeRelays(n)
}

// freeAddrs returns the addresses of a member for clients and for gossip, with ports that no process listens at. Both
// ports are below the ephemeral ports, because relays dial from the member's IP address: the kernel would give one of
// their connections an ephemeral port that the member has yet to listen at, and the member would never get it.
func freeAddrs(ip string) (client, gossip string, err error) {
	for range portAttempts {
		port := minPort + rand.IntN(portSpan)
		client = net.JoinHostPort(ip, strconv.Itoa(port))
		gossip = net.JoinHostPort(ip, strconv.Itoa(port+1))
		if err = cmp.Or(checkFree(client), checkFree(gossip)); err == nil {
			return client, gossip, nil
		}
	}
	return "", "", wrapSetup(err)
}

// checkFree returns an error if a process listens at an address.
func checkFree(addr string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	return l.Close()
}

func (e *environment) setMember(ip, name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memberByIP[ip] = name
}

// memberAt returns the name of the member that connects from an address, or "stranger" if no member has the address.
func (e *environment) memberAt(addr net.Addr) string {
	host, _, _ := net.SplitHostPort(addr.String())
	e.mu.Lock()
	defer e.mu.Unlock()
	return cmp.Or(e.memberByIP[host], "stranger")
}

// addGossipRelay adds a relay in front of a member's gossip address, for datagrams and streams.
func (e *environment) addGossipRelay(member, target string) (*faultnet.Relay, error) {
	return e.addRelay(member, true, e.memberAt, target)
}

// addRelay adds a relay in front of a target. end is the name of the target as the end of links; caller returns the
// name of their other end.
func (e *environment) addRelay(
	end string, datagrams bool, caller func(net.Addr) string, target string,
) (*faultnet.Relay, error) {
	relay, err := faultnet.NewRelay(end, e.links, datagrams, caller)
	if err != nil {
		return nil, err
	}
	relay.SetTarget(target)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relays = append(e.relays, relay)
	return relay, nil
}

// addFakeRelays adds relays in front of the fakes for one member only, so that everything that arrives at one of these
// relays comes from this member.
func (e *environment) addFakeRelays(n *node) error {
	caller := func(net.Addr) string { return n.name }
	directory := &fakes.Discovery{}
	if err := directory.Start(); err != nil {
		return err
	}
	e.directories = append(e.directories, directory)
	for i, server := range e.quoteServers {
		relay, err := e.addRelay(fakeQuoteServers[i], false, caller, server.Addr())
		if err != nil {
			return err
		}
		relay.SetSourceIP(n.ip)
		directory.Update(discovery.Target{
			UID:      fmt.Sprint("quotes-", i+1),
			Endpoint: relay.Addr(),
			Zone:     "a",
			Model:    "a",
			State:    "active",
			Capacity: 1,
		})
	}
	discoveryRelay, err := e.addRelay(fakeDiscovery, false, caller, directory.Addr())
	if err != nil {
		return err
	}
	discoveryRelay.SetSourceIP(n.ip)
	n.discoveryAddr = discoveryRelay.Addr()
	if n.counterRelay, err = e.addRelay(fakeCounter, false, caller, e.counter.addr()); err != nil {
		return err
	}
	n.counterRelay.SetSourceIP(n.ip) // because the counter limits the connections per IP address
	billingRelay, err := e.addRelay(fakeBilling, false, caller, e.billing.Addr())
	if err != nil {
		return err
	}
	n.billingAddr = billingRelay.Addr()
	return nil
}

// newGossipKey returns a random key in the form of key files.
func newGossipKey() string {
	var key [gossipKeyBytes]byte
	cryptorand.Read(key[:])
	return base64.StdEncoding.EncodeToString(key[:])
}

func (e *environment) gossipKeyFile() string { return filepath.Join(e.dir, "fleet.key") }

// writeGossipKeys writes the key file if gossip is encrypted.
func (e *environment) writeGossipKeys() error {
	if !e.scenario.Encrypted {
		return nil
	}
	text := strings.Join(e.gossipKeys, "\n") + "\n"
	return wrapSetup(os.WriteFile(e.gossipKeyFile(), []byte(text), 0o600))
}

// changeGossipKeys carries out a step's change of the keys.
func (e *environment) changeGossipKeys(change string) error {
	switch change {
	case keysAdd:
		e.gossipKeys = append(e.gossipKeys, newGossipKey())
	case keysReverse:
		slices.Reverse(e.gossipKeys)
	case keysDrop:
		e.gossipKeys = e.gossipKeys[:1]
	}
	return e.writeGossipKeys()
}

// arrived returns the requests that arrived at all quote servers, by ID.
func (e *environment) arrived() map[string]fakes.Arrival {
	all := map[string]fakes.Arrival{}
	for _, server := range e.quoteServers {
		maps.Copy(all, server.Arrived())
	}
	return all
}

// close ends all that was started, and returns once it has ended.
func (e *environment) close() {
	e.killProcesses()
	for _, relay := range e.relays {
		relay.Close()
	}
	for _, directory := range e.directories {
		directory.Stop()
	}
	for _, server := range e.quoteServers {
		server.Stop()
	}
	if e.billing != nil {
		e.billing.Stop()
	}
	if e.counter != nil {
		e.counter.stop()
	}
	for _, c := range e.extraCounters {
		c.stop()
	}
}

func (e *environment) killProcesses() {
	var killing sync.WaitGroup
	for _, n := range e.nodes {
		n.mu.Lock()
		processes := []*testcluster.Process{n.process, n.twin}
		n.mu.Unlock()
		for _, process := range processes {
			if process != nil {
				killing.Go(process.Kill)
			}
		}
	}
	killing.Wait()
}

// maxCopies is the maximum number of attempts to copy a folder.
const maxCopies = 10

// copyDir replaces a folder by a copy of another one, in which a process may be writing.
func copyDir(to, from string) error { return wrapSetup(copyFS(to, os.DirFS(from))) }

// copyFS replaces a folder by a copy of a file system. If a file is renamed or removed after it was listed and
// before it is read, the copy starts again, up to maxCopies times in all.
func copyFS(to string, from fs.FS) (err error) {
	for range maxCopies {
		err = errors.Join(os.RemoveAll(to), os.CopyFS(to, from))
		if !errors.Is(err, fs.ErrNotExist) {
			break
		}
	}
	return err
}
