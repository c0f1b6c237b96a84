package counterserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/counterclient"
)

// The store must agree with a simple model that removes expired names by scanning all of them at each call.
func TestStoreAgreesWithALinearOne(t *testing.T) {
	type number struct {
		total float64
		until int64
	}
	rng := rand.New(rand.NewPCG(1, 1))
	s, model, now, rejected := NewStore(20), map[string]*number{}, int64(0), 0
	for range 20_000 {
		now += rng.Int64N(40)
		name, amount, keep := fmt.Sprint(rng.IntN(40)), float64(rng.IntN(200)-50)/4, rng.Int64N(900)
		for n, p := range model {
			if p.until <= now {
				delete(model, n)
			}
		}
		got, ok := s.Add(now, name, amount, keep)
		p := model[name]
		if p == nil && len(model) >= 20 {
			if rejected++; ok {
				t.Fatalf("%s added to a full store", name)
			}
			continue
		}
		if p == nil {
			p = &number{until: now + max(1, keep)}
			model[name] = p
		}
		p.total += amount
		if !ok || math.Abs(got-p.total) > 1e-6*math.Abs(p.total) || s.Len() != len(model) {
			t.Fatalf("%s: %v, want %v; %d names, want %d", name, got, p.total, s.Len(), len(model))
		}
	}
	if rejected == 0 {
		t.Error("the store was never full")
	}
	_, ok := s.Add(now+1_000_000, "far", 1, 1e9)
	if got, want := s.byExpiry[0].expiresAt, now+1_000_000+maxKeepMs; !ok || got != want {
		t.Errorf("ok %v, expires at %d ms; want true and %d", ok, got, want)
	}
}

// startServer starts a server, and returns it and its address.
func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(3)
	go s.Serve(l)
	t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	return s, l.Addr().String()
}

// The replies to valid and invalid calls must be those that PROTOCOL specifies.
func TestProtocol(t *testing.T) {
	_, addr := startServer(t)
	for _, tc := range []struct{ name, send, want string }{
		{"lines",
			"PING\r\nCLIENT SETNAME x\r\nSELECT 0\r\nCNT.ADD a 2.5 4000\r\nCNT.ADD a -1 4000\r\nCNT.ADD a 0 1\r\n",
			"+PONG\r\n+OK\r\n+OK\r\n$3\r\n2.5\r\n$3\r\n1.5\r\n$3\r\n1.5\r\n"},
		{"arrays",
			"*4\r\n$7\r\nCNT.ADD\r\n$1\r\nb\r\n$7\r\n1000000\r\n$1\r\n9\r\n*1\r\n$4\r\nping\r\n",
			"$7\r\n1000000\r\n+PONG\r\n"},
		{"seven digits", "CNT.ADD c 123456789 1000\r\n", "$9\r\n123456800\r\n"},
		{"no such calls",
			"CNT.ADD d x 1\r\nCNT.ADD d 1 0\r\nCNT.ADD d 1e10 1\r\nCNT.ADD d 1\r\nGET d\r\n" +
				"CNT.ADD " + strings.Repeat("n", 65) + " 1 1\r\nCNT.ADD d NaN 1\r\n",
			"-ERR no such call\r\n-ERR no such call\r\n-ERR no such call\r\n" +
				"-ERR wrong number of arguments\r\n-ERR unknown command\r\n" +
				"-ERR no such call\r\n-ERR no such call\r\n"},
		{"no RESP", "*4\r\n$9999\r\n", "-ERR Protocol error\r\n"},
		{"an array without end", "*99999\r\n", "-ERR Protocol error\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, tc.send)
			c.(*net.TCPConn).CloseWrite()
			got, err := io.ReadAll(c)
			if diff := cmp.Diff(tc.want, string(got)); diff != "" || err != nil {
				t.Errorf("error %v; replies (-want +got):\n%s", err, diff)
			}
		})
	}
}

// The counter client of the ingresses must report the outcomes of this server's replies, also under injected faults.
func TestWithCounterClient(t *testing.T) {
	s, addr := startServer(t)
	type reply struct {
		name    string
		outcome decision.Outcome
		total   float64
	}
	replies := make(chan reply, 10)
	logger := logtest.Discard()
	onReply := func(name string, outcome decision.Outcome, total float64) { replies <- reply{name, outcome, total} }
	c := counterclient.New(addr, 10*time.Second, onReply, logger)
	defer c.Close()
	add := func(want reply) {
		t.Helper()
		for { // until the client's connection is open
			c.Add(want.name, 2, 10)
			if got := <-replies; got.outcome != decision.ConnectionRefused {
				if got != want {
					t.Errorf("reply %+v, want %+v", got, want)
				}
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	add(reply{"a", decision.Succeeded, 2})
	add(reply{"a", decision.Succeeded, 4})
	s.InjectFault(&Fault{Busy: true})
	add(reply{"a", decision.Rejected, 0})
	s.InjectFault(&Fault{Delay: time.Millisecond})
	add(reply{"a", decision.Succeeded, 6})
	s.InjectFault(nil)
	s.Reset()
	add(reply{"a", decision.Succeeded, 2})
	s.InjectFault(&Fault{Silent: true})
	c.Add("a", 2, 10)
	for s.Calls() < 6 {
		time.Sleep(time.Millisecond)
	}
	select {
	case got := <-replies:
		t.Errorf("a silent counter answered %+v", got)
	default:
	}
}

func TestTooManyConnectionsAreReset(t *testing.T) {
	_, addr := startServer(t)
	for i := range maxConnsPerHost + 1 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			if i < maxConnsPerHost {
				t.Fatal(err)
			}
			continue // reset before the dial returned
		}
		defer c.Close()
		io.WriteString(c, "PING\r\n")
		if _, err := bufio.NewReader(c).ReadString('\n'); (err == nil) != (i < maxConnsPerHost) {
			t.Errorf("connection %d: error %v, want one only beyond %d connections", i+1, err, maxConnsPerHost)
		}
	}
}

func BenchmarkAdd(b *testing.B) {
	s := NewStore(maxNames)
	b.ReportAllocs()
	for i := range b.N {
		s.Add(int64(i/10), fmt.Sprint(i%50_000), 1, 5000)
	}
}

// FuzzCall checks that any bytes from a caller are executed or rejected, with a bounded number of arguments.
func FuzzCall(f *testing.F) {
	for _, text := range []string{
		"PING\r\n", "*4\r\n$7\r\nCNT.ADD\r\n$1\r\na\r\n$1\r\n2\r\n$1\r\n9\r\n",
		"CNT.ADD a 1 1\r\n", "*99999\r\n", "*1\r\n$-5\r\n",
	} {
		f.Add([]byte(text))
	}
	s := New(1)
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(b), 4096)
		for {
			args, err := readCall(r)
			if err != nil {
				return
			}
			if len(args) == 0 || len(args) > maxArgs {
				t.Fatalf("%q: arguments %q, want from 1 to %d", b, args, maxArgs)
			}
			if got := s.execute(args); !strings.HasSuffix(got, "\r\n") {
				t.Fatalf("%q: reply %q, want one that ends a line", args, got)
			}
		}
	})
}
