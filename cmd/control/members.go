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
	requestTimeout   = 5 * time.Second
	maxResponseBytes = 1 << 20 // bytes
)

// target is the control node that is called.
type target struct {
	File string `short:"c" placeholder:"FILE" help:"Settings file of a control node. Default: the one that ${variable} names."` //nolint:lll // a tag is one line
	At   string `help:"Ask this control address instead of the one in the settings." placeholder:"HOST:PORT"`
}

// call calls a control node, and returns the body of its response. The error of a rejected call is the node's message.
func (t target) call(method, path string, body []byte) ([]byte, error) {
	addr := t.At
	if addr == "" {
		p, err := command.Load(t.File, name)
		if err != nil {
			return nil, err
		}
		addr = p.ControlAddr
	}
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := (&http.Client{Timeout: requestTimeout}).Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		var rejection struct{ Message string }
		if json.Unmarshal(responseBody, &rejection) != nil || rejection.Message == "" {
			rejection.Message = response.Status
		}
		return nil, errors.New(rejection.Message)
	}
	return responseBody, nil
}

type members struct {
	target `embed:""`
	JSON   bool `help:"As JSON."`
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
	fmt.Printf("epoch %d; these voters since epoch %d, for %.0f s as seen here; %d wanted; %s\n\n",
		all.Epoch, all.SinceEpoch, all.AgeSeconds, all.Wanted, contact)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLE\tAT\tZONE\tSTATE\tBEHIND\tHEARD")
	for _, v := range all.Voters {
		writeMember(w, "voter", v)
	}
	for _, l := range all.Learners {
		writeMember(w, "learner", l)
	}
	return w.Flush()
}

// writeMember writes the row of a control node.
func writeMember(w io.Writer, role string, m httpapi.Member) {
	state, heard := "silent", "never"
	switch {
	case m.DiskReplaced:
		state = "new disk, being taken in"
	case m.Self:
		state = "answers"
	case m.Up:
		state = "up"
	}
	if m.LastContactSeconds >= 0 {
		heard = fmt.Sprintf("%.1f s ago", m.LastContactSeconds)
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", role, m.Addr, m.Zone, state, m.EpochsBehind, heard)
}

type replace struct {
	target `embed:""`
	Out    string `arg:"" help:"Control address of the voter that goes."`
	In     string `arg:"" help:"Control address of the learner that comes."`
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
