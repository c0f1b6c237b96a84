package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinrouter/internal/emulator/fakes"
)

const (
	// defaultUpgrades is the number of upgrades in TestUpgrade. The environment variable MULLEIN_UPGRADES overrides it.
	defaultUpgrades = 3

	// upgradeClients is the number of clients that send requests at the same time.
	upgradeClients = 8

	// closeEvery is the number of responses, over all clients, after which the client that got the last one closes its
	// connection. Clients thus open new connections throughout an upgrade.
	closeEvery = 7
)

// upgradeLoad is the state that the clients of TestUpgrade share.
type upgradeLoad struct {
	t      *testing.T
	addr   string       // address of the program
	served atomic.Int64 // responses received
	lastID atomic.Int64 // number in the last X-Request-ID
	stop   atomic.Bool  // makes the clients stop
}

// upgradeClient sends requests one after another, several over each connection.
type upgradeClient struct {
	load *upgradeLoad
	conn net.Conn // nil if no connection is open
	r    *bufio.Reader
}

// run sends requests until the load stops, or one fails.
func (u *upgradeClient) run() {
	defer u.close()
	for !u.load.stop.Load() {
		if !u.send(u.load.lastID.Add(1)) {
			return
		}
	}
}

// send sends one request and reports whether it succeeded. If the server closes an idle connection while the request is
// on its way, the server has not read the request, so send repeats it once over a new connection.
func (u *upgradeClient) send(id int64) bool {
	head := fmt.Sprintf("POST /api/0000000000000001 HTTP/1.1\r\nX-Request-ID: u%d\r\n"+
		"X-Priority-Class: summary-send\r\nX-Tier: plus\r\nX-Timeout: 30\r\n"+
		"X-Call-Terms: units=1,spread=1,first=0\r\nContent-Length: 0\r\n\r\n", id)
	reused := u.conn != nil
	for {
		if !reused {
			if err := u.dial(); err != nil {
				u.load.t.Errorf("connect: %v", err)
				return false
			}
		}
		u.conn.SetDeadline(time.Now().Add(20 * time.Second)) // reached only if the test fails
		io.WriteString(u.conn, head)
		response, err := http.ReadResponse(u.r, nil)
		if err != nil && reused {
			u.conn.Close()
			reused = false
			continue
		}
		if err != nil || response.StatusCode != http.StatusOK {
			u.load.t.Errorf("after %d served: response %v, error %v; want status 200", u.load.served.Load(),
				response, err)
			return false
		}
		response.Body.Close()
		if served := u.load.served.Add(1); response.Close || served%closeEvery == 0 {
			u.close()
		}
		return true
	}
}

func (u *upgradeClient) dial() (err error) {
	if u.conn, err = net.Dial("tcp4", u.load.addr); err != nil {
		u.conn = nil
		return err
	}
	u.r = bufio.NewReader(u.conn)
	return nil
}

func (u *upgradeClient) close() {
	if u.conn != nil {
		u.conn.Close()
		u.conn = nil
	}
}

// freeAddress returns an address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestUpgrade replaces the process several times under steady load. Each newer process takes over from the older one,
// which then ends. No response may be lost or duplicated, no request may run twice, and the newer process must receive
// the state of the older one.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	upgrades := defaultUpgrades
	fmt.Sscan(os.Getenv("MULLEIN_UPGRADES"), &upgrades)
	quotes := &fakes.QuoteServer{Cores: 8}
	if err := quotes.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(quotes.Stop)
	load := &upgradeLoad{t: t, addr: freeAddress(t)}
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	text := strings.NewReplacer(
		`"listen":"127.0.0.1:0"`, fmt.Sprintf("%q:%q", "listen", load.addr),
		`"MayCount":true`, `"MayCount":false`,
		`"Balancers":3`, `"Balancers":1`,
	).Replace(fmt.Sprintf(configuration, "127.0.0.1:1", "127.0.0.1:1", quotes.Addr()))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	start := func() *process {
		p := startProcess(t, "NODE_CONFIG="+path, "TMPDIR="+dir)
		if line := p.awaitLine("code=process-started"); !strings.Contains(line, load.addr) {
			t.Fatalf("line %q, want the address %s in it", line, load.addr)
		}
		return p
	}
	older := start()
	var clients sync.WaitGroup
	for range upgradeClients {
		clients.Go((&upgradeClient{load: load}).run)
	}
	for range upgrades {
		// At least 50 more requests are served before the next process starts.
		for before := load.served.Load(); load.served.Load() < before+50 && !t.Failed(); time.Sleep(time.Millisecond) {
		}
		newer := start()
		if line := newer.awaitLine("code=process-learned"); !strings.Contains(line, "customers=1") {
			t.Errorf("line %q, want customers=1 in it", line)
		}
		older.cmd.Process.Signal(syscall.SIGTERM)
		if code := older.exitCode(); code != 0 {
			t.Errorf("exit code of the older process %d, want 0", code)
		}
		older = newer
	}
	load.stop.Store(true)
	clients.Wait()
	arrived := quotes.Arrived()
	for id, a := range arrived {
		if a.Times != 1 {
			t.Errorf("%s arrived %d times, want once", id, a.Times)
		}
	}
	if served := load.served.Load(); int64(len(arrived)) != served {
		t.Errorf("%d responses to %d requests", served, len(arrived))
	}
	t.Logf("%d upgrades under load, %d requests served", upgrades, load.served.Load())
}
