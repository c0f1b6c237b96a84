// Package counterclient calls the quota counter that all ingresses share: RESP2, pipelined over a few
// connections.
package counterclient

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/decision"
)

const (
	laneCount  = 4                      // connections; the counter resets any past 32 from one ingress
	mostLeft   = 1024                   // calls of a lane that wait for their answer, given up ones too
	connectFor = 250 * time.Millisecond // longest wait for a connection
	againAfter = 100 * time.Millisecond // between tries to connect
	pingAfter  = 2 * time.Second        // idle connections are closed by the counter after 10 s or less
	silentFor  = time.Second            // a machine that vanished leaves connections open and silent
	checkEvery = 500 * time.Millisecond
	mostDigits = 64 // of a total
)

var longAgo = time.Unix(1, 0)

// ReplyFunc receives what came of a call.
type ReplyFunc func(name string, outcome decision.Outcome, total float64)

// Client calls the counter, at one address at a time.
type Client struct {
	wait  time.Duration
	told  ReplyFunc
	log   *logrus.Logger
	lanes []*lane
	stop  chan struct{}

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed when addr is no longer the address
}

// New returns a client that gives a call up after wait. It tells what came of each call once.
func New(addr string, wait time.Duration, told ReplyFunc, log *logrus.Logger) *Client {
	c := newClient(addr, wait, told, log, laneCount)
	for _, l := range c.lanes {
		go l.run()
	}
	go c.look()
	return c
}

// newClient leaves it to the caller to run the lanes and to look after them.
func newClient(addr string, wait time.Duration, told ReplyFunc, log *logrus.Logger, lanes int) *Client {
	c := &Client{addr: addr, moved: make(chan struct{}), wait: wait, told: told, log: log, stop: make(chan struct{})}
	for range lanes {
		c.lanes = append(c.lanes, &lane{client: c})
	}
	return c
}

// SetAddress has the counter called at another address from now on. Each lane changes over once its connection
// there is up; what is out on the old one is still waited for there.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.addr {
		close(c.moved)
		c.addr, c.moved = addr, make(chan struct{})
	}
}

func (c *Client) address() (addr string, moved <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, c.moved
}

// look looks after the lanes until the client is closed.
func (c *Client) look() {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-ticker.C:
			for _, l := range c.lanes {
				l.check(now)
			}
		}
	}
}

// Close ends the connections. Calls that are out are told as may have been added.
func (c *Client) Close() {
	close(c.stop)
	for _, l := range c.lanes {
		l.mu.Lock()
		for _, k := range l.links {
			k.end("counter-closed")
		}
		l.mu.Unlock()
	}
}

// Add calls the counter and does not wait for the answer. All calls for a name travel on one
// lane: answers for it come in the order of the calls.
func (c *Client) Add(name string, amount float64, keep decision.Seconds) {
	h := fnv.New32a()
	io.WriteString(h, name)
	c.lanes[h.Sum32()%uint32(len(c.lanes))].add(name, amount, keep)
}

// call is one that waits for its answer. Its place stays taken after it has been given up, for its
// answer may still come and must not pass for that of the next one.
type call struct {
	name  string // empty: a ping
	over  bool   // told, or given up
	at    time.Time
	timer *time.Timer
}

// link is one connection and the calls on it, in order. The lane's mutex guards it.
type link struct {
	conn    net.Conn
	cut     bool // of no more use: a write ended within a call, or an answer cannot be read
	left    []*call
	heard   time.Time
	spoke   bool      // an answer came on it
	retired time.Time // since when calls go elsewhere; zero: they come here
	code    string    // why it was ended from here
}

func (k *link) end(code string) {
	k.code = cmp.Or(k.code, code)
	k.conn.SetReadDeadline(longAgo)
}

// lane has one connection in use. Where the counter has moved, the ones before it stay until the calls
// on them are answered.
type lane struct {
	client *Client
	mu     sync.Mutex
	links  []*link // the last is in use, unless it is retired
	out    []byte
}

// use is the link that takes new calls, nil where none does.
func (l *lane) use() *link {
	if n := len(l.links); n > 0 && !l.links[n-1].cut && l.links[n-1].retired.IsZero() {
		return l.links[n-1]
	}
	return nil
}

func (l *lane) add(name string, amount float64, keep decision.Seconds) {
	l.mu.Lock()
	// What is out for this name at the old address is not waited for any longer: two connections keep
	// no order, and its answer would pass for this one's.
	for l.takeOver(name) {
		l.mu.Unlock()
		l.client.told(name, decision.ConnectionReset, 0)
		l.mu.Lock()
	}
	k := l.use()
	if k == nil || len(k.left) >= mostLeft {
		l.mu.Unlock()
		l.client.told(name, decision.ConnectionRefused, 0)
		return
	}
	c := &call{name: name, at: time.Now()}
	c.timer = time.AfterFunc(l.client.wait, func() { l.giveUp(c) })
	l.out = appendCall(l.out[:0], name, amount, keep)
	err := l.write(k, c)
	c.over = err != nil
	l.mu.Unlock()
	if err != nil {
		c.timer.Stop()
		l.client.told(name, decision.ConnectionRefused, 0) // its last byte was not written: it is not added
		k.conn.Close()                                     // its reader notices, and tells those that were written
	}
}

// takeOver gives up the oldest call for a name on a retired link, if there is one.
func (l *lane) takeOver(name string) bool {
	for _, k := range l.links {
		if k.retired.IsZero() {
			continue
		}
		for _, c := range k.left {
			if !c.over && c.name == name {
				c.over = true
				c.timer.Stop()
				return true
			}
		}
	}
	return false
}

// write sends what is in out for a call. After an error the connection is of no more use.
func (l *lane) write(k *link, c *call) error {
	k.left = append(k.left, c)
	k.conn.SetWriteDeadline(time.Now().Add(l.client.wait))
	_, err := k.conn.Write(l.out)
	k.cut = err != nil
	return err
}

func (l *lane) giveUp(c *call) {
	l.mu.Lock()
	over := c.over
	c.over = true
	l.mu.Unlock()
	if !over {
		l.client.told(c.name, decision.TimedOut, 0)
	}
}

// run keeps one connection up, at the address of the moment.
func (l *lane) run() {
	for {
		addr, moved := l.client.address()
		conn, err := net.DialTimeout("tcp", addr, connectFor)
		ended := make(chan struct{})
		if err != nil {
			time.AfterFunc(againAfter, func() { close(ended) })
		} else {
			k := l.take(conn)
			go func() {
				l.drop(k, l.read(k))
				if !k.spoke { // as one that could not connect: each would be ended at once, thousands a second
					time.Sleep(againAfter)
				}
				close(ended)
			}()
		}
		select {
		case <-l.client.stop:
			return
		case <-ended:
		case <-moved: // the next one comes up beside it
		}
	}
}

// take uses a new connection, and retires the one before it.
func (l *lane) take(conn net.Conn) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := &link{conn: conn, heard: time.Now()}
	for _, old := range l.links {
		if old.retired.IsZero() {
			old.retired = time.Now()
			if len(old.left) == 0 {
				old.end("counter-moved")
			}
		}
	}
	l.links = append(l.links, k)
	select {
	case <-l.client.stop: // closed meanwhile
		k.end("counter-closed")
	default:
	}
	return k
}

// check keeps an idle connection from being closed, and ends a silent one.
func (l *lane) check(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		switch {
		case k.cut:
		case !k.retired.IsZero():
			if now.Sub(k.retired) > silentFor {
				k.end("counter-moved")
			}
		case len(k.left) > 0 && now.Sub(k.left[0].at) > silentFor && now.Sub(k.heard) > silentFor:
			k.end("counter-silent")
		case len(k.left) == 0 && now.Sub(k.heard) > pingAfter:
			l.out = append(l.out[:0], "*1\r\n$4\r\nPING\r\n"...)
			if l.write(k, &call{over: true, at: now}) != nil {
				k.conn.Close()
			}
		}
	}
}

// drop forgets a connection that has ended and tells the calls on it that they may have been added.
func (l *lane) drop(k *link, err error) {
	k.conn.Close()
	l.mu.Lock()
	l.links = slices.DeleteFunc(l.links, func(other *link) bool { return other == k })
	lost := k.left[:0]
	for _, c := range k.left {
		if !c.over {
			c.over = true
			c.timer.Stop()
			lost = append(lost, c)
		}
	}
	k.left = nil
	code := k.code
	l.mu.Unlock()
	switch {
	case code != "":
	case errors.Is(err, io.EOF):
		code = "counter-ended"
	case errors.Is(err, errAnswer):
		code = "counter-bad-answer"
	default:
		code = "counter-broken"
	}
	l.client.log.WithFields(logrus.Fields{"code": code, "lost": len(lost)}).Info("counter connection ended")
	for _, c := range lost {
		l.client.told(c.name, decision.ConnectionReset, 0)
	}
}

var errAnswer = errors.New("not an answer of the counter")

// read takes the answers, in the order of the calls, until the connection ends.
func (l *lane) read(k *link) error {
	r := bufio.NewReaderSize(k.conn, 1024)
	for {
		a, err := readAnswer(r)
		if err != nil && !errors.Is(err, errAnswer) {
			return err
		}
		l.mu.Lock()
		if len(k.left) == 0 {
			l.mu.Unlock()
			return cmp.Or(err, fmt.Errorf("%w: one too many", errAnswer))
		}
		c := k.left[0]
		if err == nil && (c.name == "") != a.pong {
			err = fmt.Errorf("%w: of this call", errAnswer)
		}
		if err != nil {
			a = answer{outcome: decision.Failed} // to this call all the same: it was added, the total is not known
			k.cut = true
		}
		k.left[0] = nil
		k.left = k.left[1:]
		k.heard, k.spoke = time.Now(), true
		over := c.over
		c.over = true
		if len(k.left) == 0 && !k.retired.IsZero() {
			k.end("counter-moved")
		}
		l.mu.Unlock()
		if !over {
			c.timer.Stop()
			l.client.told(c.name, a.outcome, a.total)
		}
		if err != nil {
			return err
		}
	}
}

// answer is one of the counter's.
type answer struct {
	pong    bool // to a ping: no answer to a call
	outcome decision.Outcome
	total   float64
}

// readAnswer reads one answer: a bulk string with the total, or a line that says what else came of it. What
// has no number in it, where there should be one, is no answer: the total is not 0, it is unknown.
func readAnswer(r *bufio.Reader) (a answer, err error) {
	line, err := readLine(r)
	if err != nil {
		return a, err
	}
	number := line[min(1, len(line)):]
	switch {
	case line == "+PONG":
		return answer{pong: true}, nil
	case strings.HasPrefix(line, "-BUSY"):
		return answer{outcome: decision.Rejected}, nil
	case strings.HasPrefix(line, "-"):
		return answer{outcome: decision.Failed}, nil
	case strings.HasPrefix(line, "$"):
		n, err := strconv.Atoi(number)
		if err != nil || n < 1 || n > mostDigits {
			return a, fmt.Errorf("%w: %.20q", errAnswer, line) // what follows cannot be told apart
		}
		if number, err = readLine(r); err != nil {
			return a, err
		}
		if len(number) != n {
			return a, fmt.Errorf("%w: length %d of %.20q", errAnswer, n, number)
		}
	case !strings.HasPrefix(line, ":"):
		return a, fmt.Errorf("%w: %.20q", errAnswer, line)
	}
	total, err := strconv.ParseFloat(number, 64)
	if err != nil || strings.Trim(number, "0123456789.eE+-") != "" { // infinities and their like
		return a, fmt.Errorf("%w: %.20q", errAnswer, number)
	}
	return answer{outcome: decision.Succeeded, total: total}, nil
}

// readLine reads a line. One longer than the buffer is none of the counter's: it may never end.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", fmt.Errorf("%w: line without end", errAnswer)
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

func appendCall(b []byte, name string, amount float64, keep decision.Seconds) []byte {
	b = append(b, "*4\r\n$7\r\nCNT.ADD\r\n"...)
	b = appendBulk(b, name)
	b = appendBulk(b, strconv.FormatFloat(amount, 'f', -1, 64))
	return appendBulk(b, strconv.FormatInt(max(1, int64(keep*1000)), 10))
}

func appendBulk(b []byte, s string) []byte {
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(len(s)), 10)
	b = append(b, "\r\n"...)
	b = append(b, s...)
	return append(b, "\r\n"...)
}
