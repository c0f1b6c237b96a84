package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// tryCommand returns a command that runs mulleinrouter try with its temporary folders in dir.
func tryCommand(t *testing.T, dir string, arguments ...string) *exec.Cmd {
	t.Helper()
	command := exec.CommandContext(t.Context(), program, append([]string{"try"}, arguments...)...)
	command.Env = append(os.Environ(), "TMPDIR="+dir)
	return command
}

// checkEmpty reports an error if a folder is not empty.
func checkEmpty(t *testing.T, dir string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) > 0 {
		t.Errorf("folders not removed: %v, error %v", entries, err)
	}
}

// TestTry runs the complete gateway for a few seconds. The rules have time limits, which TestTimelines of package
// loopback checks. This test checks that a broken rule is reported both in the text and by the exit code.
func TestTry(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	command := tryCommand(t, dir, "--for", "4s", "--load", "0.4")
	var out, errOut bytes.Buffer
	command.Stdout, command.Stderr = &out, &errOut
	err := command.Run()
	rulesKept := strings.Contains(out.String(), "rules broken: none")
	if code := command.ProcessState.ExitCode(); (code == 0) != rulesKept || code > 1 {
		t.Fatalf("exit code %d, error %v, rules kept %v\n%s%s", code, err, rulesKept, out.String(), errOut.String())
	}
	for _, want := range []string{
		`(?m)^class +requests`,
		`(?m)^read +\d+ +[1-9]`, // at least one request was served
		`(?m)^control on core-3 .* 1$`,
		`(?m)^proxy on edge-2 .* [2-9]$`, // the proxy was killed and started again
		`(?m)^served .*█.* a second$`,
		`(?m)^rejected `,
		`(?m)^failed `,
		`1\.3 s: the configuration changes a few times`,
		`2\.7 s: a proxy is killed`,
	} {
		if !regexp.MustCompile(want).MatchString(out.String()) {
			t.Errorf("want %s in the output:\n%s", want, out.String())
		}
	}
	for _, want := range []string{"starting the processes\n", "2.7 s: a proxy is killed\n", "checking what"} {
		if strings.Count(errOut.String(), want) != 1 || strings.Contains(errOut.String(), "\x1b") {
			t.Errorf("want %q once in plain lines:\n%s", want, errOut.String())
		}
	}
	if rulesKept {
		checkEmpty(t, dir)
	}
}

// TestTryServe checks that the calls printed by try --serve work, and that SIGTERM ends all processes and removes the
// temporary folder.
func TestTryServe(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	command := tryCommand(t, dir, "--serve", "--core", "1", "--edge", "1")
	var errOut bytes.Buffer
	command.Stderr = &errOut
	stdout, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for lines := bufio.NewScanner(stdout); lines.Scan(); {
		text.WriteString(lines.Text() + "\n")
		if strings.HasPrefix(lines.Text(), "Ctrl-C ends it") {
			break
		}
	}
	printed := text.String()
	checkPrintedCalls(t, printed)
	pids := regexp.MustCompile(`(?m)^(?:core|edge)-1 +\w+ +(\d+) `).FindAllStringSubmatch(printed, -1)
	if len(pids) != 3 {
		t.Errorf("got %d processes, want 3", len(pids))
	}
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	io.Copy(io.Discard, stdout)
	if err := command.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v\n%s%s", err, printed, errOut.String())
	}
	for _, pid := range pids {
		if _, err := os.Stat("/proc/" + pid[1]); err == nil {
			t.Errorf("process %s still runs", pid[1])
		}
	}
	checkEmpty(t, dir)
}

// checkPrintedCalls makes the calls that try --serve printed: a client's request, and reads of the configuration and of
// a proxy's metrics. It checks the status and the text of each answer.
func checkPrintedCalls(t *testing.T, printed string) {
	t.Helper()
	request := regexp.MustCompile(`(?m)^curl (http://\S+/) (-H .*)$`).FindStringSubmatch(printed)
	configURL := regexp.MustCompile(`(?m)^curl (http://\S+/config)$`).FindStringSubmatch(printed)
	metricsURL := regexp.MustCompile(`(?m)^edge-1 +proxy .* (http://\S+/metrics)$`).FindStringSubmatch(printed)
	if request == nil || configURL == nil || metricsURL == nil {
		t.Errorf("commands or addresses are missing:\n%s", printed)
		return
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	header := http.Header{}
	for _, field := range regexp.MustCompile(`-H '([^:]+): ([^']+)'`).FindAllStringSubmatch(request[2], -1) {
		header.Set(field[1], field[2])
	}
	for _, c := range []struct{ name, url, want string }{
		{"client", request[1], "served by"},
		{"operator", configURL[1], header.Get("Host")},
		{"metrics", metricsURL[1], "mulleinrouter_proxy_requests_total"},
	} {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = header.Get("Host")
		r.Header = header
		status, body, err := callWithRetries(r)
		if err != nil || status != http.StatusOK || !strings.Contains(body, c.want) {
			t.Errorf("%s: got %d %q, error %v; want %q", c.name, status, body, err, c.want)
		}
	}
}

// callWithRetries makes a call and repeats it while it is rejected, because on a slow machine the proxy may not know
// quotas and servers yet. It retries after the time that the answer's Retry-After states, or after defaultRetryAfter if
// there is none, until the request's context ends.
func callWithRetries(r *http.Request) (status int, body string, err error) {
	const defaultRetryAfter = 100 * time.Millisecond
	for {
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, "", err
		}
		text, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		rejected := answer.StatusCode == http.StatusTooManyRequests ||
			answer.StatusCode == http.StatusServiceUnavailable
		if err != nil || !rejected {
			return answer.StatusCode, string(text), err
		}
		retryAfter := defaultRetryAfter
		if advised, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
			retryAfter = time.Duration(advised * float64(time.Second))
		}
		select {
		case <-time.After(retryAfter):
		case <-r.Context().Done():
			return answer.StatusCode, string(text), r.Context().Err()
		}
	}
}
