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

// upgrades is how often TestUpgrade starts a newer process beside the running one. MULLEIN_UPGRADES asks for more.
const upgrades = 3

// Under steady load, newer processes take over one after another: no answer is lost, none is doubled, no request runs
// twice, and what was learned goes over.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	times := upgrades
	fmt.Sscan(os.Getenv("MULLEIN_UPGRADES"), &times)
	quotes := &fakes.Quotes{Cores: 8}
	if err := quotes.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(quotes.Stop)
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := free.Addr().String()
	free.Close()
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(configuration, "127.0.0.1:1", "127.0.0.1:1", quotes.Addr())
	text = strings.NewReplacer(`"listen":"127.0.0.1:0"`, fmt.Sprintf("%q:%q", "listen", listen), `"MayCount":true`, `"MayCount":false`,
		`"Balancers":3`, `"Balancers":1`).Replace(text)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	begin := func() *running {
		r := launch(t, "NODE_CONFIG="+path, "TMPDIR="+dir)
		if line := r.until("code=process-started"); !strings.Contains(line, listen) {
			t.Fatal(line)
		}
		return r
	}
	old := begin()
	var served, id atomic.Int64
	var stop atomic.Bool
	var clients sync.WaitGroup
	for range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c net.Conn
			var r *bufio.Reader
			for !stop.Load() {
				head := fmt.Sprintf("POST /api/0000000000000001 HTTP/1.1\r\nX-Request-ID: u%d\r\nX-Priority-Class: summary-send\r\nX-Tier: plus\r\n"+
					"X-Timeout: 30\r\nX-Call-Terms: units=1,spread=1,first=0\r\nContent-Length: 0\r\n\r\n", id.Add(1))
				for kept := c != nil; ; kept = false {
					if !kept {
						var err error
						if c, err = net.Dial("tcp4", listen); err != nil {
							t.Errorf("at the door: %v", err)
							return
						}
						r = bufio.NewReader(c)
					}
					c.SetDeadline(time.Now().Add(20 * time.Second)) // only a failure waits this long
					io.WriteString(c, head)
					a, err := http.ReadResponse(r, nil)
					if err != nil && kept {
						c.Close() // the close of an idle connection crossed it: it is sent once more, unread as it was
						continue
					}
					if err != nil || a.StatusCode != 200 {
						t.Errorf("after %d served: %v, %v", served.Load(), a, err)
						return
					}
					a.Body.Close()
					if served.Add(1); a.Close || served.Load()%7 == 0 {
						c.Close()
						c = nil
					}
					break
				}
			}
			if c != nil {
				c.Close()
			}
		}()
	}
	for range times {
		for begun := served.Load(); served.Load() < begun+50 && !t.Failed(); time.Sleep(time.Millisecond) {
		}
		young := begin()
		if line := young.until("code=process-learned"); !strings.Contains(line, "customers=1") {
			t.Error(line)
		}
		old.cmd.Process.Signal(syscall.SIGTERM)
		if code := old.exit(); code != 0 {
			t.Errorf("the older process exited with %d", code)
		}
		old = young
	}
	stop.Store(true)
	clients.Wait()
	arrived := quotes.Arrived()
	for id, a := range arrived {
		if a.Times != 1 {
			t.Errorf("%s arrived %d times", id, a.Times)
		}
	}
	if int64(len(arrived)) != served.Load() {
		t.Errorf("%d answers to %d requests", served.Load(), len(arrived))
	}
	t.Logf("%d upgrades under load, %d requests served", times, served.Load())
}
