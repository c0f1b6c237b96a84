// Package counter calls the quota counter that all ingresses share: RESP2, pipelined over a few
// connections.
package counter

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"passhub"
)

const (
	laneCount  = 4                      // connections; the counter resets any past 32 from one ingress
	mostLeft   = 1024                   // calls of a lane that wait for their answer, given up ones too
	connectFor = 250 * time.Millisecond // longest wait for a connection
	againAfter = 100 * time.Millisecond // between tries to connect
	pingAfter  = 2 * time.Second        // idle connections are closed by the counter after 10 s or less
	silentFor  = time.Second            // a machine that vanished leaves connections open and silent
	checkEvery = 500 * time.Millisecond
)

var longAgo = time.Unix(1, 0)

// Told receives what came of a call.
type Told func(name string, outcome passhub.Outcome, total float64)

// Client calls the counter at one address.
type Client struct {
	addr  string
	wait  time.Duration
	told  Told
	log   *logrus.Logger
	lanes []*lane
	stop  chan struct{}
}

// New returns a client that gives a call up after wait. It tells what came of each call once.
func New(addr string, wait time.Duration, told Told, log *logrus.Logger) *Client {
	c := newClient(addr, wait, told, log, laneCount)
	for _, l := range c.lanes {
		go l.run()
	}
	go c.look()
	return c
}

// newClient leaves it to the caller to run the lanes and to look after them.
func newClient(addr string, wait time.Duration, told Told, log *logrus.Logger, lanes int) *Client {
	c := &Client{addr: addr, wait: wait, told: told, log: log, stop: make(chan struct{})}
	for range lanes {
		c.lanes = append(c.lanes, &lane{client: c})
	}
	return c
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

// Close ends the connections. Calls that are out stay unanswered.
func (c *Client) Close() {
	close(c.stop)
	for _, l := range c.lanes {
		l.drop("counter-closed", nil)
	}
}

// Add calls the counter and does not wait for the answer. All calls for a name travel on one
// connection: answers for it come in the order of the calls.
func (c *Client) Add(name string, amount float64, keep passhub.Seconds) {
	h := fnv.New32a()
	io.WriteString(h, name)
	c.lanes[h.Sum32()%uint32(len(c.lanes))].add(name, amount, keep)
}

// call is one that waits for its answer. Its place in the lane stays taken after it has been given
// up, for its answer may still come and must not pass for that of the next one.
type call struct {
	name  string
	over  bool // told, or given up
	at    time.Time
	timer *time.Timer
}

// lane is one connection and the calls on it, in order.
type lane struct {
	client *Client
	mu     sync.Mutex
	conn   net.Conn // nil: none is up
	cut    bool     // a write ended within a call: what came after it would be read as the rest
	left   []*call
	heard  time.Time
	out    []byte
}

func (l *lane) add(name string, amount float64, keep passhub.Seconds) {
	l.mu.Lock()
	if l.conn == nil || l.cut || len(l.left) >= mostLeft {
		l.mu.Unlock()
		l.client.told(name, passhub.Refused, 0)
		return
	}
	c := &call{name: name, at: time.Now()}
	c.timer = time.AfterFunc(l.client.wait, func() { l.giveUp(c) })
	l.out = appendCall(l.out[:0], name, amount, keep)
	conn, err := l.conn, l.write(c)
	c.over = err != nil
	l.mu.Unlock()
	if err != nil {
		c.timer.Stop()
		l.client.told(name, passhub.Refused, 0) // its last byte was not written: it is not added
		conn.Close()                            // run notices, and tells those that were written
	}
}

// write sends what is in out for a call. After an error the connection is of no more use.
func (l *lane) write(c *call) error {
	l.left = append(l.left, c)
	l.conn.SetWriteDeadline(time.Now().Add(l.client.wait))
	_, err := l.conn.Write(l.out)
	l.cut = err != nil
	return err
}

func (l *lane) giveUp(c *call) {
	l.mu.Lock()
	over := c.over
	c.over = true
	l.mu.Unlock()
	if !over {
		l.client.told(c.name, passhub.TimedOut, 0)
	}
}

// run keeps one connection up.
func (l *lane) run() {
	for {
		select {
		case <-l.client.stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", l.client.addr, connectFor)
		if err != nil {
			select {
			case <-l.client.stop:
			case <-time.After(againAfter):
			}
			continue
		}
		l.mu.Lock()
		l.conn, l.cut, l.heard = conn, false, time.Now()
		l.mu.Unlock()
		l.drop("", l.read(conn))
	}
}

// check keeps an idle connection from being closed, and ends a silent one.
func (l *lane) check(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.conn == nil || l.cut:
	case len(l.left) > 0 && now.Sub(l.left[0].at) > silentFor && now.Sub(l.heard) > silentFor:
		l.conn.SetReadDeadline(longAgo)
	case len(l.left) == 0 && now.Sub(l.heard) > pingAfter:
		l.out = append(l.out[:0], "*1\r\n$4\r\nPING\r\n"...)
		if l.write(&call{over: true, at: now}) != nil {
			l.conn.Close()
		}
	}
}

// drop ends the connection and tells the calls on it that they may have been added.
func (l *lane) drop(code string, err error) {
	l.mu.Lock()
	conn, left := l.conn, l.left
	l.conn, l.left = nil, nil
	lost := left[:0]
	for _, c := range left {
		if !c.over {
			c.over = true
			c.timer.Stop()
			lost = append(lost, c)
		}
	}
	l.mu.Unlock()
	if conn == nil {
		return
	}
	conn.Close()
	var timeout net.Error
	switch {
	case code != "":
	case errors.As(err, &timeout) && timeout.Timeout():
		code = "counter-silent"
	case errors.Is(err, io.EOF):
		code = "counter-ended"
	case errors.Is(err, errAnswer):
		code = "counter-bad-answer"
	default:
		code = "counter-broken"
	}
	l.client.log.WithFields(logrus.Fields{"code": code, "lost": len(lost)}).Info("counter connection ended")
	for _, c := range lost {
		l.client.told(c.name, passhub.Reset, 0)
	}
}

var errAnswer = errors.New("not an answer of the counter")

// read takes the answers, in the order of the calls, until the connection ends.
func (l *lane) read(conn net.Conn) error {
	r := textproto.NewReader(bufio.NewReaderSize(conn, 1024))
	for {
		outcome, total, err := readAnswer(r)
		if err != nil {
			return err
		}
		l.mu.Lock()
		if len(l.left) == 0 {
			l.mu.Unlock()
			return fmt.Errorf("%w: one too many", errAnswer)
		}
		c := l.left[0]
		l.left[0] = nil
		l.left = l.left[1:]
		l.heard = time.Now()
		over := c.over
		c.over = true
		l.mu.Unlock()
		if !over {
			c.timer.Stop()
			l.client.told(c.name, outcome, total)
		}
	}
}

// readAnswer reads one answer: a bulk string with the total, or a line that says what else came of it.
func readAnswer(r *textproto.Reader) (outcome passhub.Outcome, total float64, err error) {
	line, err := r.ReadLine()
	if err != nil {
		return 0, 0, err
	}
	if line == "" {
		return 0, 0, fmt.Errorf("%w: empty line", errAnswer)
	}
	switch word := line[1:]; line[0] {
	case '+':
		return passhub.Done, 0, nil
	case '-':
		if len(word) >= 4 && word[:4] == "BUSY" {
			return passhub.Busy, 0, nil
		}
		return passhub.Failed, 0, nil
	case ':':
		total, err = strconv.ParseFloat(word, 64)
	case '$':
		if word != "-1" {
			var n int
			if n, err = strconv.Atoi(word); err != nil || n < 1 || n > 64 {
				err = errAnswer // a length that no number has: what follows cannot be told apart
				break
			}
			if line, err = r.ReadLine(); err != nil {
				return 0, 0, err
			}
			if len(line) != n {
				return 0, 0, fmt.Errorf("%w: length %d of %.20q", errAnswer, n, line)
			}
			total, err = strconv.ParseFloat(line, 64)
			break
		}
		return passhub.Failed, 0, nil
	default:
		err = errAnswer
	}
	if err != nil {
		return 0, 0, fmt.Errorf("%w: %.20q", errAnswer, line)
	}
	return passhub.Done, total, nil
}

func appendCall(b []byte, name string, amount float64, keep passhub.Seconds) []byte {
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
