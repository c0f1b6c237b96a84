package metrics

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

// Endpoint is the port and the path at which a role serves its metrics, written as "PORT/PATH" in deploy/system.toml.
// The zero value means that metrics are not served.
type Endpoint struct {
	Port int
	Path string // begins with a slash
}

// ParseEndpoint parses "PORT/PATH". An empty text gives the zero Endpoint. Errors wrap ErrBadEndpoint.
func ParseEndpoint(text string) (Endpoint, error) {
	if text == "" {
		return Endpoint{}, nil
	}
	port, path, found := strings.Cut(text, "/")
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || !found || path == "" {
		return Endpoint{}, fmt.Errorf("metrics: %.60q is %w", text, ErrBadEndpoint)
	}
	return Endpoint{Port: int(number), Path: "/" + path}, nil
}

// Enabled reports whether metrics are to be served.
func (e Endpoint) Enabled() bool { return e.Port > 0 }

// Address returns the address to listen on, for a machine with the given IP address.
func (e Endpoint) Address(host string) string { return net.JoinHostPort(host, strconv.Itoa(e.Port)) }

// UnmarshalText parses an endpoint on a command line. Errors wrap ErrBadEndpoint.
func (e *Endpoint) UnmarshalText(text []byte) (err error) {
	*e, err = ParseEndpoint(string(text))
	return err
}
