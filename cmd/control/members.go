package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"mulleinrouter/internal/cluster/command"
	"mulleinrouter/internal/control/httpapi"
)

const (
	askMost    = 5 * time.Second
	answerMost = 1 << 20 // bytes
)

// at says which control node is asked.
type at struct {
	File string `short:"c" help:"Settings file of a control node. Default: the one that ${variable} names." placeholder:"FILE"`
	At   string `help:"Ask this control address instead of the one in the settings." placeholder:"HOST:PORT"`
}

// call calls a control node. A refusal is its message.
func (a at) call(method, path string, body []byte) ([]byte, error) {
	addr := a.At
	if addr == "" {
		p, err := command.Load(a.File, name)
		if err != nil {
			return nil, err
		}
		addr = p.ControlAddr
	}
	r, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	answer, err := (&http.Client{Timeout: askMost}).Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	b, err := io.ReadAll(io.LimitReader(answer.Body, answerMost))
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		var no struct{ Message string }
		if json.Unmarshal(b, &no) != nil || no.Message == "" {
			no.Message = answer.Status
		}
		return nil, errors.New(no.Message)
	}
	return b, nil
}

type members struct {
	at   `embed:""`
	JSON bool `help:"As JSON."`
}

func (m *members) Run() error {
	b, err := m.call(http.MethodGet, "/members", nil)
	if err != nil {
		return err
	}
	if m.JSON {
		_, err = fmt.Println(string(b))
		return err
	}
	var all httpapi.Members
	if err := json.Unmarshal(b, &all); err != nil {
		return err
	}
	contact := "in contact with a majority"
	if !all.Contact {
		contact = "NOT in contact with a majority: this may be old"
	}
	fmt.Printf("epoch %d; these voters since epoch %d, for %.0f s as seen here; %d wanted; %s\n\n", all.Epoch, all.SinceEpoch, all.AgeSeconds, all.Wanted, contact)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLE\tAT\tZONE\tSTATE\tBEHIND\tHEARD")
	for _, v := range all.Voters {
		row(w, "voter", v)
	}
	for _, l := range all.Learners {
		row(w, "learner", l)
	}
	return w.Flush()
}

func row(w io.Writer, role string, m httpapi.Member) {
	state, heard := "silent", "never"
	switch {
	case m.DiskReplaced:
		state = "new disk, being taken in"
	case m.Self:
		state = "answers"
	case m.Up:
		state = "up"
	}
	if m.LastHeardSeconds >= 0 {
		heard = fmt.Sprintf("%.1f s ago", m.LastHeardSeconds)
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", role, m.Addr, m.Zone, state, m.EpochsBehind, heard)
}

type replace struct {
	at  `embed:""`
	Out string `arg:"" help:"Control address of the voter that goes."`
	In  string `arg:"" help:"Control address of the learner that comes."`
}

func (r *replace) Run() error {
	body, err := json.Marshal(httpapi.Replacement{Out: r.Out, In: r.In})
	if err != nil {
		return err
	}
	if _, err := r.call(http.MethodPost, "/members/replace", body); err != nil {
		return err
	}
	fmt.Printf("%s votes in the place of %s\n", r.In, r.Out)
	return nil
}
