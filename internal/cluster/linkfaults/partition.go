package linkfaults

import (
	"fmt"
	"os"
	"strings"
)

// Partition lists the hosts from which a process is partitioned, by direction.
type Partition struct{ To, From map[string]bool }

// The directions of a line, as seen from this process.
const (
	directionTo   = "to"
	directionFrom = "from"
	directionBoth = "both"
)

// Parse parses lines of the forms "to HOST", "from HOST" and "both HOST". Empty lines and those that begin with # are
// ignored. Errors wrap ErrBadLine.
func Parse(text string) (Partition, error) {
	partition := Partition{To: map[string]bool{}, From: map[string]bool{}}
	n := 0
	for line := range strings.Lines(text) {
		n++
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return partition, fmt.Errorf("line %d: %w", n, ErrBadLine)
		}
		switch direction, host := fields[0], fields[1]; direction {
		case directionTo:
			partition.To[host] = true
		case directionFrom:
			partition.From[host] = true
		case directionBoth:
			partition.To[host], partition.From[host] = true, true
		default:
			return partition, fmt.Errorf("line %d: %w", n, ErrBadLine)
		}
	}
	return partition, nil
}

// load reads and parses the file at path.
func load(path string) (Partition, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Partition{}, err
	}
	return Parse(string(text))
}
