package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinrouter/internal/dataplane/http1"
)

// requestBody is a body of a request that a server executes from its head. The client sends its beginning, and the rest
// only after it has the answer.
type requestBody struct{ framing, beginning string }

var (
	longPart = strings.Repeat("x", 80<<10) // more than is buffered

	earlyBodies = map[string]requestBody{
		"short":           {"Content-Length: 2\r\n\r\n", "hi"},
		"long":            {"Content-Length: 90000\r\n\r\n", longPart},
		"long, complete":  {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(longPart)), longPart},
		"long, in chunks": {"Transfer-Encoding: chunked\r\n\r\n", "14000\r\n" + longPart + "\r\n"},
	}
)

// executions counts how often servers have executed requests, by ID.
type executions struct {
	mu    sync.Mutex
	count map[string]int
}

func (e *executions) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count[id]++
}

func (e *executions) of(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count[id]
}

// Guards against a promise that a request was not executed, or a second execution, where the server executes it as soon
// as its head has arrived, answers before the body has, and breaks the answer off: after each byte of the answer, by a
// close or a reset.
func TestEarlyAnswersThatBreakOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n"
	answers := map[string]string{
		"with a length": head + "Content-Length: 5\r\n\r\nhello",
		"in chunks":     head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"failure":       "HTTP/1.1 500 Oops\r\nX-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nno",
	}
	for answerName, answer := range answers {
		for bodyName, body := range earlyBodies {
			t.Run(answerName+", to a body that is "+bodyName, func(t *testing.T) {
				t.Parallel()
				executed := &executions{count: map[string]int{}}
				front, _ := startProxy(t, func(nc *net.TCPConn, r *http1.Reader) {
					request, err := r.Head()
					if err != nil {
						return
					}
					// The letter of the ID selects close or reset, and the number the length of the answer.
					id := request.Header.Get(headerAttemptID)
					executed.add(id)
					cut, _ := strconv.Atoi(id[1:5])
					io.WriteString(nc, strings.ReplaceAll(answer, "{id}", id)[:cut])
					if id[0] == 'r' {
						time.Sleep(5 * time.Millisecond) // a reset discards what has not been read
						nc.SetLinger(0)
					}
				})
				for cut := range len(strings.ReplaceAll(answer, "{id}", "c0000")) {
					for _, end := range []string{"c", "r"} {
						checkBrokenAnswer(t, front, fmt.Sprintf("%s%04d", end, cut), body, executed)
					}
				}
			})
		}
	}
}

// checkBrokenAnswer sends a request whose answer breaks off, and checks its answer and that it is executed once.
func checkBrokenAnswer(t *testing.T, front, id string, body requestBody, executed *executions) {
	t.Helper()
	status, err := answerToBeginning(t, front, id, body)
	if ran := executed.of(id); ran != 1 {
		t.Errorf("%s: executed %d times, want once", id, ran)
	}
	promise := promisesNotExecuted(status) || status == http.StatusMisdirectedRequest
	if success := status/100 == 2 && err == nil; promise || success {
		t.Errorf("%s: executed, and the client got %d, want 502 or an answer that is cut off", id, status)
	}
}

// answerToBeginning sends a request that must not run twice, with the beginning of its body, and reads the answer.
func answerToBeginning(t *testing.T, front, id string, body requestBody) (status int, err error) {
	t.Helper()
	nc := connect(t, front)
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	go fmt.Fprintf(nc, "POST /a/b/x HTTP/1.1\r\nHost: one.example\r\nAuthorization: Token k3\r\n"+
		"X-Attempt-Id: %s\r\nX-Time-Left-Ms: 5000\r\n%s%s", id, body.framing, body.beginning)
	answer, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Errorf("%s: no answer: %v", id, err)
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// A complete early answer reaches the client, whatever part of the body has arrived. An early rejection stays a promise
// that nothing was executed.
func TestCompleteEarlyAnswers(t *testing.T) {
	for name, body := range earlyBodies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			front, _ := startProxy(t, answerFromHead)
			// The rejection comes last, because the decision module then spares a server that is full.
			for _, c := range []struct {
				id     string
				status int
			}{{"served", 200}, {"rejected", 503}} {
				if status, err := answerToBeginning(t, front, c.id, body); status != c.status || err != nil {
					t.Errorf("%s: got %d, %v, want %d", c.id, status, err, c.status)
				}
			}
		})
	}
}

// answerFromHead is a server that answers each request as soon as its head has arrived, and then reads the body.
func answerFromHead(nc *net.TCPConn, r *http1.Reader) {
	for {
		request, err := r.Head()
		if err != nil {
			return
		}
		id := request.Header.Get(headerAttemptID)
		fields := "200 OK\r\nX-Server-Seal: s"
		if id == "rejected" {
			fields = "503 Full\r\nX-Not-Executed: 1"
		}
		fmt.Fprintf(nc, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\nok", fields, id)
		if err := r.ReadBody(request); err != nil {
			return
		}
		if request.Streamed != nil {
			if _, err := io.Copy(io.Discard, request.Streamed); err != nil {
				return
			}
		}
	}
}
