package traffic

import "sync/atomic"

// Estimates of the bytes on the wire in addition to those that the process reads and writes.
const (
	ConnectionOverheadBytes = 250 // packets that open and close a connection, in each direction
	TransferOverheadBytes   = 66  // TCP, IP and Ethernet headers of a read or a write, and acknowledgements
)

// Counter counts bytes in both directions. A nil Counter counts nothing. It is safe for concurrent use.
type Counter struct {
	in, out atomic.Int64
}

// Read counts a read of n bytes.
func (c *Counter) Read(n int) {
	if c != nil && n > 0 {
		c.in.Add(int64(n) + TransferOverheadBytes)
	}
}

// Wrote counts a write of n bytes.
func (c *Counter) Wrote(n int) {
	if c != nil && n > 0 {
		c.out.Add(int64(n) + TransferOverheadBytes)
	}
}

// Connected counts a connection that was opened.
func (c *Counter) Connected() {
	if c != nil {
		c.in.Add(ConnectionOverheadBytes)
		c.out.Add(ConnectionOverheadBytes)
	}
}

// Totals returns the bytes counted so far.
func (c *Counter) Totals() (in, out int64) {
	if c == nil {
		return 0, 0
	}
	return c.in.Load(), c.out.Load()
}
