package replication

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/transport"
)

// longName is the longest name of an item.
var longName = strings.Repeat("n", configuration.MaxNameBytes)

// longItem returns an item with the longest name and history, and a body of a number of bytes.
func longItem(version uint64, bodyBytes int) configuration.Item {
	const format = `{"healthPath":"/","padding":"%s"}`
	padding := strings.Repeat("p", bodyBytes-len(format)+len("%s"))
	history := make(configuration.History, 16)
	for n := range history {
		history[n] = configuration.HistoricVersion{Version: 1<<40 - uint64(n), Digest: 1<<64 - 1}
	}
	return configuration.Item{
		Key: configuration.Key{Kind: configuration.Services, Name: longName}, Version: version,
		Body: fmt.Appendf(nil, format, padding), Epoch: 1 << 50, History: &history,
	}
}

// limitedConn is an end of a connection that sends with a limited bandwidth.
type limitedConn struct {
	net.Conn
	bytesPerSecond int
}

func (s *limitedConn) Write(b []byte) (sent int, err error) {
	const segment = 1460
	for sent < len(b) {
		part := b[sent:min(sent+segment, len(b))]
		time.Sleep(time.Second * time.Duration(len(part)) / time.Duration(s.bytesPerSecond))
		n, err := s.Conn.Write(part)
		if sent += n; err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// longItemSource is a source whose store can have long items. Each connection to it is counted.
type longItemSource struct {
	*Source
	mu             sync.Mutex // guards the fields below
	bytesPerSecond int
	connections    int
	leftOut        []string
}

func newLongItemSource(bytesPerSecond int) *longItemSource {
	s := &longItemSource{bytesPerSecond: bytesPerSecond}
	s.Source = &Source{
		Store:  NewStore(1),
		Clock:  NewClock(func() float64 { return 0 }),
		Voters: func() []string { return strings.Fields(strings.Repeat("255.255.255.255:65535 ", maxVoters)) },
		OnItemLeftOut: func(node string, _ configuration.Key) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.leftOut = append(s.leftOut, node)
		},
	}
	return s
}

func (s *longItemSource) dial(context.Context) (net.Conn, error) {
	here, there := net.Pipe()
	s.mu.Lock()
	s.connections++
	s.mu.Unlock()
	go func() {
		conn := transport.NewConn(&limitedConn{there, s.bytesPerSecond})
		if f, err := conn.Receive(); err == nil && f.Hello != nil {
			s.Serve(conn, f.Hello, nil)
		}
	}()
	return here, nil
}

// lengthsNearLimits are lengths of bodies around the length of a part and the limit of an item. From 85 bytes below
// that limit on, a frame with the complete item is longer than MaxFrameWithoutParts.
var lengthsNearLimits = []int{
	maxUnsplitBody - 1, maxUnsplitBody, maxUnsplitBody + 1, 5 * partBytes, 5*partBytes + 1, 500_000,
	configuration.MaxBodyBytes - 3000, configuration.MaxBodyBytes - 700, configuration.MaxBodyBytes - 85,
	configuration.MaxBodyBytes - 1, configuration.MaxBodyBytes,
}

// Guards against items that disconnect a subscriber permanently, because their frame is longer than the subscriber
// accepts, or takes longer than transport.IdleTimeout on a slow link. The item must arrive complete over a single
// connection, and later changes must follow. One version is sent with the initial state, and one as a change.
func TestLongItemsKeepTheConnection(t *testing.T) {
	for _, bytesPerSecond := range []int{250_000, 100_000_000} { // the slow one is 2 Mbit/s
		for _, length := range lengthsNearLimits {
			t.Run(fmt.Sprint(length, " bytes at ", bytesPerSecond), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkLongItem(t, bytesPerSecond, length) })
			})
		}
	}
}

func checkLongItem(t *testing.T, bytesPerSecond, length int) {
	s := newLongItemSource(bytesPerSecond)
	client := &Client{
		Node: "edge", Class: ClassAgent, Incarnation: 7, Store: NewStore(7),
		Clock: NewClock(func() float64 { return 0 }), Dial: s.dial,
	}
	s.Store.MergeItems([]configuration.Item{item(1, 1), longItem(1, length), item(2, 1)})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { client.Run(ctx) })
	defer time.Sleep(time.Minute) // the source's last write ends
	defer running.Wait()
	defer cancel()
	for version := uint64(1); version <= 2; version++ {
		s.Store.MergeItems([]configuration.Item{longItem(version, length)})
		time.Sleep(10 * time.Second)
		s.Store.MergeItems([]configuration.Item{item(1, 1+version)})
		time.Sleep(time.Second)
		want, _ := s.Store.Snapshot().Get(configuration.Key{Kind: configuration.Services, Name: longName})
		got, _ := client.Store.Snapshot().Get(want.Key)
		if got.Version != version || !bytes.Equal(got.Body, want.Body) {
			t.Errorf("version %d: got version %d with %d bytes, want %d", version, got.Version, len(got.Body), length)
		}
		if got, _ := client.Store.Snapshot().Get(item(1, 1).Key); got.Version != 1+version {
			t.Errorf("later change: got version %d, want %d", got.Version, 1+version)
		}
	}
	if s.connections != 1 {
		t.Errorf("got %d connections, want 1", s.connections)
	}
}

// A subscriber of an earlier version accepts neither parts nor frames over MaxFrameWithoutParts. It gets what such a
// frame can carry, and all later changes.
func TestLongItemsToEarlierVersion(t *testing.T) {
	for _, length := range lengthsNearLimits {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			s := newLongItemSource(100_000_000)
			s.Store.MergeItems([]configuration.Item{item(1, 1), longItem(1, length)})
			nc, err := s.dial(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			subscription := &transport.Hello{Node: "old", Class: ClassAgent}
			hello, err := transport.Append(nil, &transport.Frame{Hello: subscription})
			if err != nil {
				t.Fatal(err)
			}
			go nc.Write(hello)
			versions := map[string]uint64{}
			for r := bufio.NewReader(nc); versions["s2"] == 0; {
				frame, err := transport.Read(r, transport.MaxFrameWithoutParts)
				if err != nil {
					t.Fatalf("cut off with %v: %v", versions, err)
				}
				for _, i := range frame.Update.Items {
					versions[i.Key.Name] = i.Version
				}
				if frame.Update.Complete && versions["s1"] == 1 {
					s.Store.MergeItems([]configuration.Item{item(2, 1)})
				}
			}
			fits := length <= configuration.MaxBodyBytes-3000
			if fits != (versions[longName] == 1) || fits == (len(s.leftOut) > 0) {
				t.Errorf("got %v, left out for %v; the item fits: %v", versions, s.leftOut, fits)
			}
		})
	}
}

// A source of an earlier version sends the longest item in one frame, with all that an update can have.
func TestLongestUnsplitItemIsAccepted(t *testing.T) {
	s := newLongItemSource(1)
	f := newFeed(s.Source, nil, &transport.Hello{Node: "edge", Class: ClassAgent})
	f.matchingBits = make([]byte, 1<<10)
	update := f.newUpdate()
	update.Items = []configuration.Item{longItem(1<<40, configuration.MaxBodyBytes)}
	frame, err := transport.Append(nil, &transport.Frame{Update: update})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := transport.Read(bufio.NewReader(bytes.NewReader(frame)), transport.MaxFrame); err != nil {
		t.Errorf("%d bytes: %v", len(frame), err)
	}
}

// Parts that do not form the body of the item are rejected, and never make the reader panic.
func TestPartsThatFormNoBody(t *testing.T) {
	key := configuration.Key{Kind: configuration.Tenants, Name: "a"}
	other := configuration.Key{Kind: configuration.Limits}
	part := func(offset, length int, data string) *transport.Update {
		return &transport.Update{Part: &transport.ItemPart{
			Key: key, Version: 1, Offset: offset, Length: length, Data: []byte(data),
		}}
	}
	with := func(update *transport.Update, items ...configuration.Item) *transport.Update {
		update.Items = items
		return update
	}
	complete := configuration.Item{Key: key, Version: 1}
	for name, updates := range map[string][]*transport.Update{
		"a gap":                 {part(0, 9, "abc"), part(4, 9, "def")},
		"no beginning":          {part(3, 9, "abc")},
		"longer than announced": {part(0, 4, "abcde")},
		"negative":              {part(-3, 3, "abc")},
		"too long":              {part(0, configuration.MaxBodyBytes+1, "a")},
		"empty":                 {part(0, 3, "")},
		"no item":               {part(0, 3, "abc")},
		"another item":          {with(part(0, 3, "abc"), configuration.Item{Key: other, Version: 1})},
		"another version":       {with(part(0, 3, "abc"), configuration.Item{Key: key, Version: 2})},
		"two items":             {with(part(0, 3, "abc"), complete, complete)},
		"an item too early":     {with(part(0, 4, "abc"), complete)},
	} {
		var assembly bodyAssembly
		accepted := 0
		for _, update := range updates {
			if assembly.add(update) {
				accepted++
			}
		}
		if accepted == len(updates) {
			t.Errorf("%s: accepted", name)
		}
	}
	var assembly bodyAssembly
	last := with(part(3, 5, "de"), complete)
	if !assembly.add(part(0, 5, "abc")) || !assembly.add(last) || string(last.Items[0].Body) != "abcde" {
		t.Errorf("two parts: got %q, want abcde", last.Items[0].Body)
	}
}
