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
	lineEnd = "\r\n"

	// headOnly before the text of a takes step leaves the body of the request unread.
	headOnly = "head "
)

// step is a line of a script that uses a connection.
type step struct {
	line string // as recorded
	name string // of the listener or client
	verb string
	text string // with substitutions and escapes replaced
}

// outcome returns the line as it would be recorded with what was received in place of what was expected.
func (s step) outcome(received, expected string, err error) (string, error) {
	if err == nil && received == expected {
		return s.line, nil
	}
	return fmt.Sprintf("%s %s %s", s.name, s.verb, strings.Trim(strconv.Quote(received), `"`)), err
}

// verbs play a step on a connection, and return the line as it should have been recorded.
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

// playLine plays a line and returns it as it should have been recorded.
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

// expand replaces keys of let, names of listeners and Go escapes in a step's text.
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

// acceptConn has nothing left to do: playLine has accepted the connection.
func (p *Player) acceptConn(_ *conn, s step) (string, error) { return s.line, nil }

func (p *Player) writeLine(c *conn, s step) (string, error) {
	_, err := io.WriteString(c, s.text+lineEnd)
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

// readLines reads as many lines as the step has, up to the first that differs.
func (p *Player) readLines(c *conn, s step) (string, error) {
	var received string
	var err error
	for i, want := range strings.Split(s.text, lineEnd) {
		var line string
		line, err = c.reader.ReadString('\n')
		line = strings.TrimRight(line, lineEnd)
		if start, isPattern := strings.CutSuffix(want, "*"); isPattern && strings.HasPrefix(line, start) {
			line = want
		}
		if i > 0 {
			received += lineEnd
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

// readChunks reads a chunked body, and for "whole" the empty line behind its last chunk too.
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

// readRequest reads one request. It returns the beginning of its first line if that is what was expected, else all of
// the line.
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
		return "", fmt.Errorf("%w, but %q: %w", errNotEnded, rest, err)
	}
	return p.closeConn(c, s)
}

// Body returns n bytes, beginning at an offset, of an endless body in which each byte depends on its offset.
func Body(offset, n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte((offset + i) % 251)
	}
	return body
}

// parseSpan reads "N K": the end of a span and its beginning.
func parseSpan(text string) (from, to int) {
	end, begin, _ := strings.Cut(text, " ")
	to, _ = strconv.Atoi(end)
	from, _ = strconv.Atoi(begin)
	return from, to
}
