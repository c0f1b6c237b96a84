package mgmt

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// ErrRejected tells that a call was answered with NAK, or not at all.
var ErrRejected = errors.New("refused")

const mostAnswer = 4 << 20 // bytes of a line

// Call asks a management address one line, and gives the lines behind ACK. It takes no longer than most.
func Call(addr, line string, most time.Duration) (lines []string, err error) {
	c, err := net.DialTimeout("tcp4", addr, most)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(most))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	all := bufio.NewScanner(c)
	all.Buffer(nil, mostAnswer)
	for all.Scan() {
		lines = append(lines, all.Text())
	}
	if err := all.Err(); err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	if len(lines) == 0 || lines[0] != "ACK" {
		return nil, fmt.Errorf("mgmt: %s: %w", line, ErrRejected)
	}
	return lines[1:], nil
}
