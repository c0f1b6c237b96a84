package operatorcommand

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/control/operatorapi"
)

// membersBody is the answer of a control node. Its last key is unknown to these commands. A newer node may send such
// keys.
const membersBody = `{"epoch":3,"sinceEpoch":2,"standsSeconds":9.2,"wanted":3,"contact":true,` +
	`"voters":[{"at":"10.0.0.1:80","zone":"z1","heardSecondsAgo":0,"behind":0,"up":true,"thisControl":true},` +
	`{"at":"10.0.0.2:80","zone":"z2","heardSecondsAgo":4.1,"behind":0,"up":false}],` +
	`"learners":[{"at":"10.0.0.3:80","zone":"z3","heardSecondsAgo":-1,"behind":7,"up":true}],"newer":1}`

const membersTable = `epoch 3; these voters since epoch 2, for 9 s as seen here; 3 wanted; in contact with a majority

ROLE     AT           ZONE  STATE    BEHIND  HEARD
voter    10.0.0.1:80  z1    answers  0       0.0 s ago
voter    10.0.0.2:80  z2    silent   0       4.1 s ago
learner  10.0.0.3:80  z3    up       7       never
`

// shardsBody is the answer of a control node that holds the lease of the first of two shards.
const shardsBody = `{"shards":[{"shard":0,"leaseholder":"10.0.0.1:80","term":4,"batch":91,"lease":true,` +
	`"leaseAgeMs":120,"locks":2,"cells":7,"replicas":[{"at":"10.0.0.1:80","behind":0},` +
	`{"at":"10.0.0.2:80","learner":true,"behind":3}]},{"shard":1,"leaseholder":"","term":2,"batch":5,"lease":false,` +
	`"replicas":[{"at":"10.0.0.1:80","behind":-1}]}],"newer":1}`

const shardsTable = `SHARD  TERM  LEASEHOLDER  LEASE       LOCKS  NUMBERS  CELLS  REPLICA                BEHIND
0      4     10.0.0.1:80  120 ms old  2      0        7      10.0.0.1:80            0
0      4     10.0.0.1:80  120 ms old  2      0        7      10.0.0.2:80 (learner)  3
1      2     unknown      elsewhere   0      0        0      10.0.0.1:80            ?
`

// newControlNode serves the operators' calls. It accepts one replacement, of 10.0.0.2:80 by 10.0.0.3:80, and one
// transfer, of shard 3 to 10.0.0.2:80, and rejects all others.
func newControlNode(t *testing.T) (addr string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, membersBody) })
	mux.HandleFunc("POST /members/replace", func(w http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); string(body) != `{"out":"10.0.0.2:80","in":"10.0.0.3:80"}` {
			w.WriteHeader(http.StatusConflict)
			io.WriteString(w, `{"message":"is no voter"}`)
		}
	})
	mux.HandleFunc("GET /shards", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, shardsBody) })
	mux.HandleFunc("POST /shards/transfer", func(w http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); string(body) != `{"shard":3,"to":"10.0.0.2:80"}` {
			w.WriteHeader(http.StatusConflict)
			io.WriteString(w, `{"message":"shard 1 is not handed over: the lease is held by nobody known"}`)
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// run runs a command line after replacing ADDR by the address of the control node.
func run(t *testing.T, addr, line string) (string, error) {
	t.Helper()
	var commands struct {
		Members Members `cmd:""`
		Replace Replace `cmd:""`
		Shards  Shards  `cmd:""`

		TransferShard TransferShard `cmd:""`
	}
	var out bytes.Buffer
	parser := kong.Must(&commands, commandline.HelpTexts, kong.BindTo(&out, (*io.Writer)(nil)))
	parsed, err := parser.Parse(strings.Fields(strings.ReplaceAll(line, "ADDR", addr)))
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	err = parsed.Run()
	return out.String(), err
}

func TestCommands(t *testing.T) {
	addr := newControlNode(t)
	for _, test := range []struct{ line, want, wantErr string }{
		{"members --at ADDR", membersTable, ""},
		{"members --at ADDR --output json", membersBody + "\n", ""},
		{"shards --at ADDR", shardsTable, ""},
		{"shards --at ADDR --output json", shardsBody + "\n", ""},
		{"transfer-shard --at ADDR 3 10.0.0.2:80", "shard 3 is handed to 10.0.0.2:80\n", ""},
		{"transfer-shard --at ADDR 1 10.0.0.2:80", "",
			"shard 1 is not handed over: the lease is held by nobody known"},
		{"members --at ADDR --json", membersBody + "\n", ""},
		{"replace --at ADDR 10.0.0.2:80 10.0.0.3:80", "10.0.0.3:80 votes in the place of 10.0.0.2:80\n", ""},
		{"replace --at ADDR 10.0.0.9:80 10.0.0.3:80", "", "is no voter"},
	} {
		got, err := run(t, addr, test.line)
		if got != test.want {
			t.Errorf("%s: output\n%s\nwant\n%s", test.line, got, test.want)
		}
		var rejected *operatorapi.RejectedError
		switch {
		case test.wantErr == "" && err != nil:
			t.Errorf("%s: %v", test.line, err)
		case test.wantErr != "" && (!errors.As(err, &rejected) || rejected.Message != test.wantErr):
			t.Errorf("%s: error %v, want a RejectedError %q", test.line, err, test.wantErr)
		}
	}
}

// Unusable settings cause a SettingsError, because the exit code depends on the type of the error.
func TestUnusableSettings(t *testing.T) {
	var unusable *commandline.SettingsError
	if _, err := run(t, "", "members -c "+filepath.Join(t.TempDir(), "none")); !errors.As(err, &unusable) {
		t.Errorf("error %v, want a SettingsError", err)
	}
}
