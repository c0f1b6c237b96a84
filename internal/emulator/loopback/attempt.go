package loopback

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mulleinrouter/internal/emulator/invariants"
)

const (
	maxRequestBodyBytes = 3000             // upper limit, not reached, of the size of a request body
	maxRetryAfter       = 60               // seconds; a larger value of a Retry-After field counts as this one
	maxIdleTime         = 14 * time.Second // longest time that a client keeps an idle connection, below IdleTimeoutMs

	// idleMargin is the time in seconds before the peer's idle timeout at which a client stops using a connection, so
	// that it sends no request while the peer closes the connection.
	idleMargin = 0.2

	// resetWait is the time for which a client waits for the reset that may follow the end of a stream.
	resetWait = 5 * time.Millisecond
)

// attempt makes the nth attempt of a request, counted from 0, and records it. left is the time until the request's
// deadline; retryAfter is the value of the answer's Retry-After field, or 0 if there is none.
func (cl *cluster) attempt(
	request *clientRequest,
	n int,
	left time.Duration,
	rng *rand.Rand,
) (t *invariants.Attempt, retryAfter time.Duration) {
	t, body := cl.drawAttempt(request, left, rng)
	defer cl.recorder.attempt(t)
	c, err := cl.connect(request, n, left, t)
	if err != nil {
		t.Sent = cl.now()
		t.Done = cl.now()
		t.End = invariants.NotConnected
		return t, 0
	}
	t.Edge = c.edge.name
	c.lastAttempt = t
	closing := !request.keepAlive || request.canaryEdge != nil
	message := drawMessage(t, body, left, closing, rng)
	c.conn.SetDeadline(time.Now().Add(left))
	_, err = c.conn.Write(message)
	t.Sent = cl.now()
	if err == nil {
		retryAfter, err = cl.readResponse(c, t)
	} else {
		t.End = endingOf(err)
	}
	// A request that the machine has not read was not executed, so it is recorded as one without a connection.
	if t.End == invariants.Truncated && t.Status == 0 && cl.closedUnread(c.conn, err) {
		t.End = invariants.NotConnected
	}
	t.Done = cl.now()
	switch {
	case err != nil || t.End != invariants.Answered:
		c.conn.Close()
	case closing || c.idleUntil.IsZero():
		cl.closeConn(c)
	default:
		cl.keepConn(request.user, c)
	}
	return t, retryAfter
}

// drawAttempt draws the content of an attempt's request.
func (cl *cluster) drawAttempt(
	request *clientRequest,
	left time.Duration,
	rng *rand.Rand,
) (t *invariants.Attempt, body []byte) {
	class := request.class
	t = &invariants.Attempt{
		ID:            fmt.Sprintf("%016x", rng.Uint64()),
		Class:         class.name,
		AtMostOnce:    class.atMostOnce,
		Probe:         request.canaryEdge != nil,
		Method:        http.MethodGet,
		Host:          request.route.host,
		Target:        fmt.Sprintf("%s%x", request.route.prefix, rng.Uint32N(1<<20)),
		Key:           request.key,
		TimeLeft:      left.Seconds(),
		FirstSent:     cl.sinceStart(request.startedAt),
		LatencyTarget: class.latencyTarget.Seconds(),
	}
	if rng.IntN(4) == 0 {
		t.Target += "?q=" + strconv.Itoa(rng.IntN(100))
	}
	if class.atMostOnce {
		t.Method = http.MethodPost
		body = uniqueBody(t.ID, rng.IntN(maxRequestBodyBytes))
	}
	t.Body = checksum(body)
	return t, body
}

// connect returns the user's idle connection if this is a first attempt that may use it, and a new one otherwise.
func (cl *cluster) connect(
	request *clientRequest,
	n int,
	left time.Duration,
	t *invariants.Attempt,
) (*clientConn, error) {
	if request.keepAlive && n == 0 && request.canaryEdge == nil {
		if c := cl.takeIdleConn(request.user); c != nil {
			return c, nil
		}
	}
	edge := request.canaryEdge
	if edge == nil {
		edge = cl.chooseEdge(request.user, n)
	}
	t.Edge = edge.name
	return dialEdge(edge, min(maxConnectTime, left))
}

// drawMessage encodes an attempt as an HTTP/1.1 request. Some requests claim a tenant and a target instance in header
// fields, which the proxy must ignore, and some bodies are chunked.
func drawMessage(t *invariants.Attempt, body []byte, left time.Duration, closing bool, rng *rand.Rand) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", t.Method, t.Target, t.Host)
	fmt.Fprintf(&b, "X-Attempt-Id: %s\r\nX-Time-Left-Ms: %d\r\n", t.ID, left.Milliseconds())
	if t.Key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", t.Key)
	}
	if rng.IntN(10) == 0 {
		t.ClaimedTenant = "somebody"
		b.WriteString("X-Tenant: somebody\r\nx-target-instance: i-0\r\n")
	}
	if closing && rng.IntN(2) == 0 {
		b.WriteString("Connection: close\r\n")
	}
	switch {
	case body != nil && rng.IntN(3) == 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		b.Write(encodeChunks(body))
	case body != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
		b.Write(body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// readResponse reads an answer and records it in t. It sets c.idleUntil to the time until which the connection may be
// kept, or to zero if it must not be kept.
func (cl *cluster) readResponse(c *clientConn, t *invariants.Attempt) (retryAfter time.Duration, err error) {
	c.idleUntil = time.Time{}
	if _, err := c.reader.Peek(1); err != nil {
		t.End = endingOf(err)
		return 0, err
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: t.Method})
	if err != nil {
		t.End = endingOf(err)
		if t.End == invariants.Truncated && !isConnEnd(err) {
			t.End = invariants.Malformed
		}
		return 0, err
	}
	t.Status = r.StatusCode
	t.AnswerID = r.Header.Get("X-Attempt-Id")
	t.Seal = r.Header.Get("X-Server-Seal")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.End = endingOf(err)
		return 0, err
	}
	t.Sum = checksum(body)
	if t.Seal == "" && !t.Probe {
		cl.countGatewayAnswer(t.Status, body)
	}
	if idle := idleTime(r.Header); idle > 0 && !r.Close {
		c.idleUntil = time.Now().Add(idle)
	}
	return parseRetryAfter(r.Header), nil
}

// parseRetryAfter returns the duration of a Retry-After field, which is in seconds; 0: there is none.
func parseRetryAfter(h http.Header) time.Duration {
	advised, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err == nil && advised > 0 {
		return seconds(min(advised, maxRetryAfter))
	}
	return 0
}

// idleTime returns how long a client keeps an idle connection. It is limited by the peer's Keep-Alive field.
func idleTime(h http.Header) time.Duration {
	_, parameters, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return maxIdleTime
	}
	digits, _, _ := strings.Cut(parameters, ",")
	timeout, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	if err != nil {
		return maxIdleTime
	}
	return min(maxIdleTime, seconds(max(0, timeout-idleMargin)))
}

// endingOf returns the ending of an attempt whose connection failed with err.
func endingOf(err error) invariants.Ending {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return invariants.TimedOut
	}
	return invariants.Truncated
}

// isConnEnd reports whether reading failed because the connection ended, and not because the data was malformed.
func isConnEnd(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// closedUnread reports whether the machine closed the connection without having read the request. The kernel of the
// machine resets such a connection, but the reset may arrive after the end of the stream. Therefore closedUnread waits
// for resetWait and tries to write, which fails after a reset.
func (cl *cluster) closedUnread(conn *net.TCPConn, err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	cl.sleep(resetWait)
	conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, err = conn.Write([]byte("\r\n"))
	return err != nil
}

// countGatewayAnswer counts an answer that the gateway itself generated, by status and the first line of its text.
func (cl *cluster) countGatewayAnswer(status int, text []byte) {
	line, _, _ := strings.Cut(string(text), "\n")
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.gatewayAnswers[fmt.Sprintf("%d %.100s", status, line)]++
}
