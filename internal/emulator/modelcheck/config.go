package modelcheck

import (
	"fmt"
	"strings"
)

// Config is the small world that an exploration begins in.
type Config struct {
	AtMostOnce     [2]bool // the class of each request: may not run twice
	TwoRequests    bool    // two requests at once
	Servers        int     // 1 or 2
	IdleConnection bool    // a connection to the first server has been used before
	Sparse         bool    // the member's requests ask the counter
	OneConnection  bool    // one connection at the most
	SlowDials      bool    // new connections take their time to come up
	StreamedBody   bool    // the first request's body goes up as it comes
	// servers send what nobody asked for, and long answers; a request that is not held takes its time to go out
	OddServers bool
}

// String is a config in words, as traces have it.
func (c Config) String() string {
	words := []string{map[bool]string{false: "read", true: "send"}[c.AtMostOnce[0]]}
	if c.TwoRequests {
		words = append(words, "and-"+map[bool]string{false: "read", true: "send"}[c.AtMostOnce[1]])
	}
	words = append(words, fmt.Sprintf("servers=%d", c.Servers))
	for _, f := range []struct {
		is   bool
		word string
	}{{c.IdleConnection, "kept"}, {c.Sparse, "thin"}, {c.OneConnection, "full"}, {c.SlowDials, "dials"}, {c.StreamedBody, "long"}, {c.OddServers, "odd"}} {
		if f.is {
			words = append(words, f.word)
		}
	}
	return strings.Join(words, " ")
}

// ParseConfig reads a config's words.
func ParseConfig(text string) (c Config, err error) {
	for i, word := range strings.Fields(text) {
		switch {
		case i == 0 && (word == "read" || word == "send"):
			c.AtMostOnce[0] = word == "send"
		case word == "and-read" || word == "and-send":
			c.TwoRequests, c.AtMostOnce[1] = true, word == "and-send"
		case word == "servers=1" || word == "servers=2":
			c.Servers = int(word[len(word)-1] - '0')
		case word == "kept":
			c.IdleConnection = true
		case word == "thin":
			c.Sparse = true
		case word == "full":
			c.OneConnection = true
		case word == "dials":
			c.SlowDials = true
		case word == "long":
			c.StreamedBody = true
		case word == "odd":
			c.OddServers = true
		default:
			return c, fmt.Errorf("no world has %q", word)
		}
	}
	if c.Servers == 0 {
		return c, fmt.Errorf("a world needs servers=1 or servers=2")
	}
	return c, nil
}
