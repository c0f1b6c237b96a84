package modelcheck

import (
	"fmt"
	"slices"
	"strings"
)

// Config describes the world that an exploration starts from. The zero value has no server and is not usable.
type Config struct {
	AtMostOnce     [2]bool // whether each request is non-idempotent
	TwoRequests    bool    // whether two requests are submitted at once
	Servers        int     // 1 or 2
	IdleConnection bool    // there is an idle connection to the first server that has been used before
	Sparse         bool    // the customer's quota slice is so small that the quota counter admits requests
	OneConnection  bool    // the pool opens one connection at most
	SlowDials      bool    // events may happen while a connection is being opened
	StreamedBody   bool    // the first request's body is uploaded while the client sends it
	// OddServers makes servers also send answers to other requests, answers that name no request, and streamed answers.
	// The write of a request whose last byte is not delayed is then a separate event.
	OddServers bool
}

// The words of the text form of a config, which traces contain.
const (
	secondRequestPrefix     = "and-" // prefix of the class of the second request
	serversPrefix           = "servers="
	conditionIdleConnection = "kept"
	conditionSparse         = "thin"
	conditionOneConnection  = "full"
	conditionSlowDials      = "dials"
	conditionStreamedBody   = "long"
	conditionOddServers     = "odd"
)

// configFlag is the text form of one flag of a config.
type configFlag struct {
	name string
	set  *bool
}

// flags returns the flags of a config in the order of the text form.
func (c *Config) flags() []configFlag {
	return []configFlag{
		{conditionIdleConnection, &c.IdleConnection},
		{conditionSparse, &c.Sparse},
		{conditionOneConnection, &c.OneConnection},
		{conditionSlowDials, &c.SlowDials},
		{conditionStreamedBody, &c.StreamedBody},
		{conditionOddServers, &c.OddServers},
	}
}

// className returns the class of a request.
func className(atMostOnce bool) string {
	if atMostOnce {
		return classSend
	}
	return classRead
}

// String returns the text form of a config, which ParseConfig parses.
func (c Config) String() string {
	conditions := []string{className(c.AtMostOnce[0])}
	if c.TwoRequests {
		conditions = append(conditions, secondRequestPrefix+className(c.AtMostOnce[1]))
	}
	conditions = append(conditions, fmt.Sprint(serversPrefix, c.Servers))
	for _, flag := range c.flags() {
		if *flag.set {
			conditions = append(conditions, flag.name)
		}
	}
	return strings.Join(conditions, " ")
}

// ParseConfig parses the text form of a config. Its error is an UnknownConditionError or ErrServerCount.
func ParseConfig(text string) (Config, error) {
	var c Config
	flags := c.flags()
	for i, condition := range strings.Fields(text) {
		flag := slices.IndexFunc(flags, func(f configFlag) bool { return f.name == condition })
		switch {
		case i == 0 && (condition == classRead || condition == classSend):
			c.AtMostOnce[0] = condition == classSend
		case condition == secondRequestPrefix+classRead || condition == secondRequestPrefix+classSend:
			c.TwoRequests = true
			c.AtMostOnce[1] = condition == secondRequestPrefix+classSend
		case condition == serversPrefix+"1":
			c.Servers = 1
		case condition == serversPrefix+"2":
			c.Servers = 2
		case flag >= 0:
			*flags[flag].set = true
		default:
			return c, UnknownConditionError{condition}
		}
	}
	if c.Servers == 0 {
		return c, ErrServerCount
	}
	return c, nil
}

// Configs returns the worlds that are explored by default: the basic ones, and further ones with streamed bodies, with
// odd servers, and with slow dials.
func Configs() []Config {
	var all []Config
	for _, servers := range serverCounts {
		all = append(all, basicConfigs(servers)...)
	}
	for _, servers := range serverCounts {
		for _, atMostOnce := range bothBools {
			for _, idle := range bothBools {
				c := oneRequest(servers, atMostOnce)
				c.IdleConnection, c.StreamedBody = idle, true
				all = append(all, c)
			}
		}
	}
	for _, servers := range serverCounts {
		for _, atMostOnce := range bothBools {
			c := oneRequest(servers, atMostOnce)
			c.IdleConnection, c.OddServers = true, true
			all = append(all, c)
		}
	}
	all = append(all, Config{
		Servers:       1,
		TwoRequests:   true,
		AtMostOnce:    [2]bool{false, true},
		OneConnection: true,
		OddServers:    true,
	})
	for _, servers := range serverCounts {
		for _, atMostOnce := range bothBools {
			c := oneRequest(servers, atMostOnce)
			c.SlowDials = true
			all = append(all, c)
		}
	}
	return all
}

var (
	serverCounts = []int{1, 2}
	bothBools    = []bool{false, true}
)

func oneRequest(servers int, atMostOnce bool) Config {
	return Config{Servers: servers, AtMostOnce: [2]bool{atMostOnce}}
}

// basicConfigs returns the worlds of one or two requests with each combination of IdleConnection, Sparse and
// OneConnection. The second of two requests is always non-idempotent. Two requests are not combined with Sparse,
// because they share the pool and the dispatcher whatever the customer's quota slice is.
func basicConfigs(servers int) []Config {
	var all []Config
	for bits := range 8 {
		base := Config{
			Servers:        servers,
			IdleConnection: bits&1 != 0,
			Sparse:         bits&2 != 0,
			OneConnection:  bits&4 != 0,
		}
		for _, atMostOnce := range bothBools {
			c := base
			c.AtMostOnce[0] = atMostOnce
			all = append(all, c)
		}
		if base.Sparse {
			continue
		}
		for _, atMostOnce := range [][2]bool{{false, true}, {true, true}} {
			c := base
			c.TwoRequests = true
			c.AtMostOnce = atMostOnce
			all = append(all, c)
		}
	}
	return all
}
