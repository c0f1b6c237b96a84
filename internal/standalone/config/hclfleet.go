package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"mulleinrouter/internal/standalone/fleet/keyring"
	"mulleinrouter/internal/standalone/hclfile"
)

const (
	// maxNameBytes is the maximum length of the name of a fleet or a member. It bounds messages, which contain the
	// names. The error text of checkVoters repeats it.
	maxNameBytes = 64

	// The interval between health checks of members is bounded, because a short one causes load and a long one delays
	// the detection of failures.
	minHealthCheckInterval     = 50 * time.Millisecond
	defaultHealthCheckInterval = 300 * time.Millisecond
	maxHealthCheckInterval     = 10 * time.Second

	defaultCounterTimeout = 50 * time.Millisecond // for a reply of the counter
)

// readFleet reads the size of the fleet, the number of this ingress in it, its membership, and the counter that
// ingresses share.
func (h *hclConfig) readFleet(file *hclfile.File, c *Config) error {
	c.Settings.Gateways = 1
	if h.Fleet != nil {
		if err := h.Fleet.read(file, c); err != nil {
			return err
		}
	}
	if h.Counter != nil {
		return h.Counter.read(file, c)
	}
	return nil
}

func (f *fleetBlock) read(file *hclfile.File, c *Config) error {
	if f.Ingresses < 1 {
		return file.ErrorAt("fleet.ingresses", "must be 1 or more")
	}
	if f.Number < 0 || f.Number >= f.Ingresses {
		return file.ErrorAt("fleet.number", fmt.Sprintf("must be from 0 to %d", f.Ingresses-1))
	}
	c.Settings.Gateways, c.Settings.Index, c.Settings.Zone = f.Ingresses, f.Number, f.Zone
	if f.Membership == nil {
		return nil
	}
	return f.Membership.read(file, c)
}

func (cb *counterBlock) read(file *hclfile.File, c *Config) error {
	timeout, err := file.Duration("counter.wait", cb.Wait, defaultCounterTimeout)
	if err != nil {
		return err
	}
	if (cb.Address == "") == (cb.Embedded == "") {
		return file.ErrorAt("counter", "needs an address, or embedded with an address to listen on, and not both")
	}
	c.Settings.HasCounter, c.Settings.CounterTimeout = true, timeout.Seconds()
	c.Counter, c.Embedded = cb.Address, cb.Embedded
	if cb.Embedded != "" {
		return checkAddress(file, "counter.embedded", cb.Embedded)
	}
	return checkAddress(file, "counter.address", cb.Address)
}

// membershipPath is the prefix of the paths of errors in the membership block.
const membershipPath = "fleet.membership."

// read reads the configuration of this ingress as a member of its fleet.
func (m *membershipBlock) read(file *hclfile.File, c *Config) (err error) {
	if m.Fleet == "" || len(m.Fleet) > maxNameBytes {
		return file.ErrorAt(membershipPath+"fleet",
			fmt.Sprintf("a fleet needs a name, of %d bytes at the most", maxNameBytes))
	}
	if len(c.Name) > maxNameBytes {
		return file.ErrorAt("name", fmt.Sprintf("a member's name has %d bytes at the most", maxNameBytes))
	}
	if err := m.checkAddresses(file); err != nil {
		return err
	}
	interval, err := m.readInterval(file)
	if err != nil {
		return err
	}
	keyFile := file.ResolvePath(m.KeyFile)
	if keyFile != "" {
		if _, err := keyring.Read(keyFile); err != nil {
			return file.ErrorAt(membershipPath+"key_file", err.Error())
		}
	}
	if err := m.checkVoters(file, c); err != nil {
		return err
	}
	c.Membership = &Membership{
		Fleet:     m.Fleet,
		Listen:    m.Listen,
		Advertise: m.Advertise,
		Join:      m.Join,
		KeyFile:   keyFile,
		Interval:  interval,
		Share:     m.Share,
		Voters:    m.Voters,
	}
	return nil
}

func (m *membershipBlock) checkAddresses(file *hclfile.File) error {
	check := func(key, addr string) error {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return file.ErrorAt(membershipPath+key, fmt.Sprintf("not an address and a port in numbers: %q", addr))
		}
		return nil
	}
	if err := check("listen", m.Listen); err != nil {
		return err
	}
	if err := check("advertise", cmp.Or(m.Advertise, m.Listen)); err != nil {
		return err
	}
	for _, addr := range m.Join {
		if err := check("join", addr); err != nil {
			return err
		}
	}
	return nil
}

func (m *membershipBlock) readInterval(file *hclfile.File) (time.Duration, error) {
	const path = membershipPath + "interval"
	interval, err := file.Duration(path, m.Interval, defaultHealthCheckInterval)
	if err != nil {
		return 0, err
	}
	if interval < minHealthCheckInterval || interval > maxHealthCheckInterval {
		text := fmt.Sprintf("must be from %v to %v", minHealthCheckInterval, maxHealthCheckInterval)
		return 0, file.ErrorAt(path, text)
	}
	return interval, nil
}

// checkVoters checks that the number of voters is 0, 1, 3 or 5 and that no voter is named twice. An ingress that is a
// voter needs a state folder, because its votes must survive a restart of its process.
func (m *membershipBlock) checkVoters(file *hclfile.File, c *Config) error {
	const path = membershipPath + "voters"
	if n := len(m.Voters); n != 0 && n != 1 && n != 3 && n != 5 {
		return file.ErrorAt(path,
			"must name one, three or five voters; if a single one is lost, no lease can be granted")
	}
	for i, voter := range m.Voters {
		if voter == "" || len(voter) > maxNameBytes || slices.Contains(m.Voters[:i], voter) {
			return file.ErrorAt(path, fmt.Sprintf("each voter must be named once, with 1 to 64 bytes: %q", voter))
		}
		if voter == c.Name && c.State == "" {
			return file.ErrorAt(path, "a voter needs a state folder, which must survive restarts")
		}
	}
	return nil
}
