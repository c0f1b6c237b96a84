package singleton

import (
	"fmt"
	"testing"
)

var (
	n1 = Identity{Name: "n1", Boot: 1, Nonce: 1}
	n2 = Identity{Name: "n2", Boot: 1, Nonce: 1}
	n3 = Identity{Name: "n3", Boot: 1, Nonce: 1}
)

// checkLeaseTable applies commands to a table one after another and returns an error for the first wrong outcome. The
// test of seeded faults expects an error from this check or from checkLeaseHolder.
func checkLeaseTable() error {
	table := NewLeaseTable()
	steps := []struct {
		name      string
		command   Command
		wantOK    bool
		wantToken uint64 // last token granted
	}{
		{"grant", Command{Kind: Grant, Role: "d", To: n1}, true, 1},
		{"grant of a held role", Command{Kind: Grant, Role: "d", To: n2, Token: 1}, false, 1},
		{"grant proposed on an older state", Command{Kind: Grant, Role: "d", To: n2}, false, 1},
		{"renewal by another", Command{Kind: Renew, Role: "d", To: n2, Token: 1}, false, 1},
		{"renewal", Command{Kind: Renew, Role: "d", To: n1, Token: 1}, true, 1},
		{"expiry decided before the renewal", Command{Kind: Expire, Role: "d", Token: 1, RenewedIndex: 1}, false, 1},
		{"release by another", Command{Kind: Release, Role: "d", To: n2, Token: 1}, false, 1},
		{"expiry", Command{Kind: Expire, Role: "d", Token: 1, RenewedIndex: 5}, true, 1},
		{"renewal after expiry", Command{Kind: Renew, Role: "d", To: n1, Token: 1}, false, 1},
		{"grant without the last token", Command{Kind: Grant, Role: "d", To: n2, Token: 0}, false, 1},
		{"second grant", Command{Kind: Grant, Role: "d", To: n2, Token: 1}, true, 2},
		{"release", Command{Kind: Release, Role: "d", To: n2, Token: 2}, true, 2},
		{"grant of a role without a name", Command{Kind: Grant, Role: "", To: n2}, false, 2},
	}
	for i, step := range steps {
		ok := table.Apply(step.command, uint64(i+1))
		if ok != step.wantOK || table.LastToken != step.wantToken {
			return fmt.Errorf("%s: got %v and token %d, want %v and token %d",
				step.name, ok, table.LastToken, step.wantOK, step.wantToken)
		}
	}
	return nil
}

func TestLeaseTable(t *testing.T) {
	if err := checkLeaseTable(); err != nil {
		t.Error(err)
	}
}
