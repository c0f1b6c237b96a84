package discovery

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/dataplane/http1"
	"mulleinrouter/internal/standalone/jsontext"
)

const (
	listTarget  = "/v1/endpoints"
	watchTarget = "/v1/endpoints?watch=1&from=" // followed by the revision after which changes are wanted

	lineBufferBytes = 4096 // initial size of the buffer for a line of the watch; it grows up to maxListBytes
)

// follow opens a connection, reads the complete list unless one is known, and then follows the watch. It returns when
// the connection ends.
func (w *Watcher) follow(ctx context.Context) error {
	dial := w.dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	conn, err := dial(ctx, "tcp", w.Addr)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r := http1.NewReader(conn)
	if !w.hasList {
		if err := w.readList(conn, r); err != nil {
			return fmt.Errorf("list: %w", err)
		}
		w.hasList = true
	}
	return w.watch(conn, r)
}

// readList reads and applies the complete list.
func (w *Watcher) readList(conn net.Conn, r *http1.Reader) error {
	body, err := w.get(conn, r, listTarget)
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(io.LimitReader(body, maxListBytes))
	if err != nil {
		return err
	}
	return w.apply(raw)
}

// watch reads and applies changes, one per line, until the connection ends.
func (w *Watcher) watch(conn net.Conn, r *http1.Reader) error {
	body, err := w.get(conn, r, watchTarget+strconv.FormatInt(w.rev, 10))
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, lineBufferBytes), maxListBytes)
	for {
		conn.SetReadDeadline(time.Now().Add(cmp.Or(w.watchTimeout, silenceTimeout)))
		if !lines.Scan() {
			if err := lines.Err(); err != nil {
				return fmt.Errorf("%w: %w", errWatchSilent, err)
			}
			return fmt.Errorf("watch: %w", io.EOF)
		}
		if line := lines.Bytes(); len(line) > 0 {
			if err := w.apply(line); err != nil {
				return fmt.Errorf("watch: %w", err)
			}
			w.backoff.Succeeded()
		}
	}
}

// get sends a request and returns the body of its response. A status other than 200 is an error.
func (w *Watcher) get(conn net.Conn, r *http1.Reader, target string) (io.Reader, error) {
	request := append([]byte("GET "), target...)
	request = append(request, " HTTP/1.1\r\nHost: discovery\r\n\r\n"...)
	// While discovery is down it is silent, and when it is back it answers the queued calls at once. An ingress that
	// waits between two calls at that moment gets no answer, and learns of changes too late. In the test run "herd"
	// with 300 ingresses, such ingresses sent new requests to draining servers 1,500 times. A call that times out and
	// is repeated goes to the end of the queue. So the timeout of a call includes the delay that would otherwise follow
	// it.
	timeout := cmp.Or(w.replyTimeout, silenceTimeout) + time.Duration(w.backoff.Length()*float64(time.Second))
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(request); err != nil {
		return nil, err
	}
	response, err := r.Response(false)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, fmt.Errorf("%w %d", errStatus, response.Status)
	}
	return r.Stream(response), nil
}

// apply decodes a list, applies it to the directory, and passes it to OnUpdate. A malformed list changes nothing.
func (w *Watcher) apply(raw []byte) error {
	var l List
	if err := jsontext.Decode(raw, &l); err != nil {
		return fmt.Errorf("%w: %w", errMalformedList, err)
	}
	w.rev = l.Rev
	w.OnUpdate(w.Directory.apply(&l))
	level.Info(w.Log).Log("msg", "endpoint list changed",
		"code", "discovery-list", "rev", l.Rev, "changed", len(l.Targets),
	)
	return nil
}
