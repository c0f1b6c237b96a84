package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

const (
	crlf = "\r\n"

	// headOnly is a prefix of the text of a takes step, which leaves the body of the request unread.
	headOnly = "head "
)

// step is a line of a script that uses a connection.
type step struct {
	line string // as recorded
	name string // of the listener or client
	verb string
	text string // with substitutions and escapes replaced
}

// outcome returns the line of the step with the received text in place of the expected one.
func (s step) outcome(received, expected string, err error) (string, error) {
	if err == nil && received == expected {
		return s.line, nil
	}
	return fmt.Sprintf("%s %s %s", s.name, s.verb, strings.Trim(strconv.Quote(received), `"`)), err
}

// verbs contains the functions that execute a step on a connection, by verb. Each returns the line that describes what
// happened, which equals the recorded line if the step succeeds.
var verbs = map[string]func(p *Player, c *conn, s step) (string, error){
	"accept": (*Player).acceptConn,
	">":      (*Player).writeLine,
	">>":     (*Player).writeText,
	"<":      (*Player).readLines,
	"<<":     (*Player).readText,
	"takes":  (*Player).takeRequest,
	"chunk":  (*Player).writeChunk,
	"sends":  (*Player).writeBody,
	"gets":   (*Player).readBody,
	"whole":  (*Player).readChunks,
	"chunks": (*Player).readChunks,
	"eof":    (*Player).expectEOF,
	"close":  (*Player).closeConn,
	"reset":  (*Player).resetConn,
}

// playLine executes a line of a script, and returns the line that describes what happened.
func (p *Player) playLine(line string) (string, error) {
	name, rest, _ := strings.Cut(line, " ")
	if hook, ok := strings.CutPrefix(name, "@"); ok {
		if p.Hooks[hook] == nil {
			return "", fmt.Errorf("%w %s", errUnknownHook, hook)
		}
		return strings.TrimRight(name+" "+p.Hooks[hook](rest), " "), nil
	}
	verb, text, _ := strings.Cut(rest, " ")
	if name == "let" {
		p.substitutions[verb] = text
		return line, nil
	}
	text, err := p.expand(text)
	if err != nil {
		return "", err
	}
	if verb == "stop" {
		return line, p.listeners[name].Close()
	}
	c, err := p.conn(name, verb == "accept")
	if err != nil {
		return "", err
	}
	c.SetDeadline(time.Now().Add(stepTimeout))
	play, known := verbs[verb]
	if !known {
		return "", fmt.Errorf("%w %q", errUnknownVerb, verb)
	}
	return play(p, c, step{line: line, name: name, verb: verb, text: text})
}

// expand replaces the keys of let steps, the names of listeners and Go escapes in the text of a step.
func (p *Player) expand(text string) (string, error) {
	for key, value := range p.substitutions {
		text = strings.ReplaceAll(text, "{"+key+"}", value)
	}
	for name := range p.listeners {
		text = strings.ReplaceAll(text, "{"+name+"}", p.Addr(name))
	}
	expanded, err := strconv.Unquote(`"` + strings.ReplaceAll(text, `"`, `\"`) + `"`)
	if err != nil {
		return "", fmt.Errorf("%q: %w", text, err)
	}
	return expanded, nil
}

// acceptConn does nothing, because playLine has already accepted the connection.
func (p *Player) acceptConn(_ *conn, s step) (string, error) { return s.line, nil }

func (p *Player) writeLine(c *conn, s step) (string, error) {
	_, err := io.WriteString(c, s.text+crlf)
	return s.line, err
}

func (p *Player) writeText(c *conn, s step) (string, error) {
	_, err := io.WriteString(c, s.text)
	return s.line, err
}

func (p *Player) writeChunk(c *conn, s step) (string, error) {
	_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(s.text)+1, s.text)
	return s.line, err
}

func (p *Player) writeBody(c *conn, s step) (string, error) {
	from, to := parseSpan(s.text)
	_, err := c.Write(Body(from, to-from))
	return s.line, err
}

// readLines reads as many lines as the step has, but stops after the first one that differs.
func (p *Player) readLines(c *conn, s step) (string, error) {
	var received string
	var err error
	for i, want := range strings.Split(s.text, crlf) {
		var line string
		line, err = c.reader.ReadString('\n')
		line = strings.TrimRight(line, crlf)
		if start, isPattern := strings.CutSuffix(want, "*"); isPattern && strings.HasPrefix(line, start) {
			line = want
		}
		if i > 0 {
			received += crlf
		}
		received += line
		if err != nil || line != want {
			break
		}
	}
	return s.outcome(received, s.text, err)
}

func (p *Player) readText(c *conn, s step) (string, error) {
	received := make([]byte, len(s.text))
	_, err := io.ReadFull(c.reader, received)
	return s.outcome(string(received), s.text, err)
}

func (p *Player) readBody(c *conn, s step) (string, error) {
	from, to := parseSpan(s.text)
	received := make([]byte, to-from)
	_, err := io.ReadFull(c.reader, received)
	if err != nil || !bytes.Equal(received, Body(from, to-from)) {
		return "", fmt.Errorf("%w: %w", errUnexpectedBytes, err)
	}
	return s.line, nil
}

// readChunks reads a chunked body. For the verb "whole", it also reads the empty line after the last chunk.
func (p *Player) readChunks(c *conn, s step) (string, error) {
	_, size := parseSpan(s.text + " 0")
	received, err := io.ReadAll(httputil.NewChunkedReader(c.reader))
	if err != nil || !bytes.Equal(received, Body(0, size)) {
		return "", fmt.Errorf("%w: %w", errUnexpectedBytes, err)
	}
	if s.verb == "whole" {
		_, err = c.reader.ReadString('\n')
	}
	return s.line, err
}

func (p *Player) takeRequest(c *conn, s step) (string, error) {
	firstLine, withoutBody := strings.CutPrefix(s.text, headOnly)
	received, err := c.readRequest(firstLine, withoutBody)
	return s.outcome(received, firstLine, err)
}

// readRequest reads one request. It returns the expected text if the request line begins with it, and otherwise the
// complete request line.
func (c *conn) readRequest(expected string, withoutBody bool) (received string, err error) {
	reader := textproto.NewReader(c.reader)
	if received, err = reader.ReadLine(); err != nil {
		return received, err
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return received, err
	}
	if !withoutBody {
		length, _ := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
		_, err = io.CopyN(io.Discard, c.reader, length)
	}
	if strings.HasPrefix(received, expected) {
		received = expected
	}
	return received, err
}

func (p *Player) closeConn(c *conn, s step) (string, error) {
	delete(p.conns, s.name)
	return s.line, c.Close()
}

func (p *Player) resetConn(c *conn, s step) (string, error) {
	c.Conn.(*net.TCPConn).SetLinger(0)
	return p.closeConn(c, s)
}

// expectEOF waits until the peer closes or resets the connection.
func (p *Player) expectEOF(c *conn, s step) (string, error) {
	rest, err := io.ReadAll(c.reader)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || len(rest) > 0 {
		return "", fmt.Errorf("%w, got %q: %w", errNotEnded, rest, err)
	}
	return p.closeConn(c, s)
}

// Body returns n bytes from an offset of a generated, unlimited body. The bytes repeat after 251, a prime, so that a
// shift by the size of a buffer or chunk changes them.
func Body(offset, n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte((offset + i) % 251)
	}
	return body
}

// parseSpan parses "N K", the end offset of a range of bytes and its start offset.
func parseSpan(text string) (from, to int) {
	end, begin, _ := strings.Cut(text, " ")
	to, _ = strconv.Atoi(end)
	from, _ = strconv.Atoi(begin)
	return from, to
}
