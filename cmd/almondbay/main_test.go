package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"almondbay.example/serving/keys"
)

// result is the exit code and the output of a command.
type result struct {
	code   int
	stdout string
	stderr string
}

// runCommand runs a command in this process.
func runCommand(t *testing.T, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := execute(args, invocation{ctx: t.Context(), out: &stdout}, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

// startDev runs the dev command until the test ends and returns the addresses
// and keys that it printed.
func startDev(t *testing.T) devOutput {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	read, write := io.Pipe()
	var group errgroup.Group
	group.Go(func() error {
		execute([]string{"dev", "--json", "--listen", "127.0.0.1:0"}, invocation{ctx: ctx, out: write}, io.Discard)
		return write.Close()
	})
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	text, err := bufio.NewReader(read).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	var line devOutput
	if err := json.Unmarshal([]byte(text), &line); err != nil {
		t.Fatal(err)
	}
	return line
}

func writeFile(t *testing.T, name, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const secondDocument = `{"models": [{"name": "demo", "version": "2", "groups": 2, "span": 4}]}`

// chat requests a streamed answer and returns all its events.
func chat(t *testing.T, dev devOutput) string {
	t.Helper()
	body := fmt.Sprintf(`{"model": %q, "stream": true, "messages": [{"role": "user", "content": "hello"}]}`, dev.Model)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+dev.Address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	keys.NewSecret(dev.Key).Authorize(request.Header)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// TestOperatorCommands runs the operator's commands one after the other against
// one node and checks that none prints a key.
func TestOperatorCommands(t *testing.T) {
	dev := startDev(t)
	if answer := chat(t, dev); !strings.Contains(answer, "[DONE]") {
		t.Errorf("first request got %q, want a complete answer", answer)
	}
	t.Setenv("ALMONDBAY_OPERATOR_KEY", dev.AdminKey)
	server := "http://" + dev.AdminAddress
	file := writeFile(t, "second.jsonc", secondDocument)
	steps := []struct {
		args   []string
		code   int
		stdout string
		// stderr is a part of the error message that is expected.
		stderr string
	}{
		{[]string{"status"}, exitSuccess, "revision", ""},
		{[]string{"diff", file}, exitSuccess, "~ models/demo/version: 1 -> 2", ""},
		{[]string{"apply", "--parent", "7", file}, exitFailure, "", "at revision 1 by dev, not at 7"},
		{[]string{"apply", "--parent", "1", "--operation", "second", file}, exitSuccess, "dev is at revision 2", ""},
		{[]string{"apply", "--parent", "1", "--operation", "second", file}, exitSuccess, "dev is at revision 2", ""},
		{[]string{"diff", file}, exitSuccess, "no changes", ""},
		{[]string{"undo", "--to", "1", "--parent", "1"}, exitFailure, "", "~ models/demo/version: 1 -> 2"},
		{[]string{"undo", "--to", "1"}, exitSuccess, "dev is at revision 3", ""},
		{[]string{"promote", "--source", "dev", "--source-revision", "2", "-e", "production"}, exitFailure, "", "at revision 3"},
		{[]string{"promote", "--source", "dev", "-e", "production"}, exitSuccess, "production is at revision 1", ""},
		{[]string{"diff", "--source", "dev", "-e", "production"}, exitSuccess, "no changes", ""},
		{[]string{"diff", "--source", "nowhere"}, exitFailure, "", `"nowhere" has no document`},
		{[]string{"history", "-e", "production"}, exitSuccess, "dev/3", ""},
		{[]string{"drain", "vm-1"}, exitSuccess, "receives no new work", ""},
		{[]string{"drain", "--cancel", "vm-1"}, exitSuccess, "may receive work again", ""},
		{[]string{"report", "burn"}, exitSuccess, "default    demo   95%     1", ""},
		{[]string{"history", "--key", "wrong"}, exitFailure, "", "key is not valid"},
		{[]string{"history", "--key=" + dev.Key}, exitFailure, "", "key is not valid"},
	}
	for _, step := range steps {
		args := append(slices.Clone(step.args), "--server", server)
		got := runCommand(t, args...)
		if got.code != step.code || !strings.Contains(got.stdout, step.stdout) || !strings.Contains(got.stderr, step.stderr) {
			t.Errorf("%v got %+v, want exit code %d, output %q, error %q", step.args, got, step.code, step.stdout, step.stderr)
		}
		if strings.Contains(got.stdout+got.stderr, dev.Key) || strings.Contains(got.stdout+got.stderr, dev.AdminKey) {
			t.Errorf("%v printed a key", step.args)
		}
		if step.code == exitSuccess {
			var parsed any
			got := runCommand(t, append(args, "--json")...)
			if err := json.Unmarshal([]byte(got.stdout), &parsed); err != nil {
				t.Errorf("%v --json printed %q: %v", step.args, got.stdout, err)
			}
		}
	}
	page := filepath.Join(t.TempDir(), "burn.html")
	if got := runCommand(t, "report", "burn", "--html", page, "--server", server); got.code != exitSuccess {
		t.Errorf("report burn --html got %+v, want exit code %d", got, exitSuccess)
	}
}

// TestUnknownOutcomePrintsRetryAdvice breaks the connection after a command was
// sent, so that it may or may not have taken effect. The exit code must differ
// from that of a command that was certainly not sent.
func TestUnknownOutcomePrintsRetryAdvice(t *testing.T) {
	file := writeFile(t, "second.jsonc", secondDocument)
	lost := startAbortingServer(t)
	got := runCommand(t, "apply", "--server", lost, "--key", "k", "-e", "trial", "--parent", "4", "--operation", "op", file)
	want := "--environment trial --operation op --parent 4"
	if got.code != exitUnknownOutcome || !strings.Contains(got.stderr, want) || !strings.Contains(got.stderr, "almondbay history --environment trial") {
		t.Errorf("apply over a broken connection got %+v, want exit code %d and advice", got, exitUnknownOutcome)
	}
	if got := runCommand(t, "drain", "vm-1", "--server", lost, "--key", "k"); got.code != exitUnknownOutcome {
		t.Errorf("drain over a broken connection got %+v, want exit code %d", got, exitUnknownOutcome)
	}
	if got := runCommand(t, "apply", "--server", "http://127.0.0.1:1", "--key", "k", "-e", "trial", "--parent", "4", file); got.code != exitFailure {
		t.Errorf("apply without a connection got %+v, want exit code %d", got, exitFailure)
	}
}

// startAbortingServer starts a server that reads each request and closes the
// connection without an answer.
func startAbortingServer(t *testing.T) string {
	t.Helper()
	return startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
}

func TestCheck(t *testing.T) {
	good := writeFile(t, "good.jsonc", secondDocument)
	bad := writeFile(t, "bad.jsonc", "{\n  \"models\": [{\"name\": \"demo\", \"version\": \"1\", \"span\": 0, \"group\": 1}],\n}")
	settings := writeFile(t, "settings.jsonc", `{"node": "a"}`)
	if got := runCommand(t, "check", good); got.code != exitSuccess || !strings.Contains(got.stdout, "no faults") {
		t.Errorf("a valid document got %+v", got)
	}
	got := runCommand(t, "check", good, bad, settings)
	for _, want := range []string{bad + ":2:55: /models/0/span", bad + ":2:58: /models/0/group: unknown field", settings + ":1:1: /peer/keys"} {
		if got.code != exitFailure || !strings.Contains(got.stderr, want) {
			t.Errorf("invalid files got %+v, want exit code %d and the fault %q", got, exitFailure, want)
		}
	}
	var line checkOutput
	got = runCommand(t, "check", "--json", good, bad, settings)
	if err := json.Unmarshal([]byte(got.stdout), &line); err != nil || got.code != exitFailure || len(line.Files) != 3 || line.Files[2].Kind != kindSettings {
		t.Errorf("check --json got %+v, %v", got, err)
	}
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		args []string
		code int
	}{
		{nil, exitUsage},
		{[]string{"nonsense"}, exitUsage},
		{[]string{"apply"}, exitUsage},
		{[]string{"apply", "--nonsense", "x"}, exitUsage},
		{[]string{"diff"}, exitUsage},
		{[]string{"report"}, exitUsage},
		{[]string{"completion", "fish"}, exitUsage},
		{[]string{"completion", "bash"}, exitSuccess},
		{[]string{"version"}, exitSuccess},
		{[]string{"explain"}, exitUsage},
		{[]string{"explain", "ID", "/nowhere/node.log"}, exitFailure},
		{[]string{"--help"}, exitSuccess},
		{[]string{"check", "/nowhere/document.jsonc"}, exitFailure},
	}
	for _, test := range tests {
		if got := runCommand(t, test.args...); got.code != test.code {
			t.Errorf("%v got %+v, want exit code %d", test.args, got, test.code)
		}
	}
}

var update = flag.Bool("update", false, "write the help of the commands into docs/commands")

// compareCommandPage checks that the first block of code in the page of a command
// is its help, or writes it there if -update is set. A missing page is written
// with the description of the command above the block.
func compareCommandPage(t *testing.T, path []string, description, help string) {
	t.Helper()
	const fence = "```"
	file := "../../docs/commands/" + strings.Join(path, "-") + ".md"
	page, err := os.ReadFile(file)
	if err != nil {
		page = []byte("# almondbay " + strings.Join(path, " ") + "\n\n" + description + "\n\n" + fence + fence + "\n")
	}
	parts := strings.SplitN(string(page), fence, 3)
	if len(parts) == 3 && parts[1] == help {
		return
	}
	if *update && len(parts) == 3 {
		parts[1] = help
		if err := os.WriteFile(file, []byte(strings.Join(parts, fence)), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	t.Errorf("%s differs from the help of the command; run this test with -update", file)
}

// TestCommandPages compares the help of each command with its page in
// docs/commands.
func TestCommandPages(t *testing.T) {
	inv := &invocation{}
	var check func(prefix []string, commands []subcommand)
	check = func(prefix []string, commands []subcommand) {
		for _, c := range commands {
			path := append(slices.Clone(prefix), c.name)
			if len(c.children) > 0 {
				check(path, c.children)
				continue
			}
			help := runCommand(t, append(path, "--help")...)
			if c.example == "" || !strings.Contains(help.stdout, c.example) {
				t.Errorf("help of %v has no example", path)
			}
			compareCommandPage(t, path, c.description, "\n"+strings.TrimSpace(help.stdout)+"\n")
		}
	}
	check(nil, subcommands(inv, newParser(inv)))
}

func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// TestExplain looks for a rejected request in the log of a node and expects its
// cause and the events of the heads before it.
func TestExplain(t *testing.T) {
	log := writeFile(t, "edge-a-1.log", `{"ts":90.0,"msg":"heads changed","event":951,"service":"llm","model":"large","heads":2}
{"ts":100.0,"msg":"request ended","event":901,"request":"ID","service":"llm","model":"large","outcome":"refused","status":503,"cause":"no room","tries":""}
`)
	for _, tt := range []struct {
		args []string
		want string
	}{
		{[]string{"explain", "ID", log}, "refused before it ran: no room; 2 heads"},
		{[]string{"explain", "--json", "ID", log}, `"origin": "edge-a-1"`},
	} {
		if got := runCommand(t, tt.args...); got.code != exitSuccess || !strings.Contains(got.stdout, tt.want) {
			t.Errorf("%v got %+v, want %q", tt.args, got, tt.want)
		}
	}
	if got := runCommand(t, "explain", "another", log); got.code == exitSuccess {
		t.Errorf("a request without a log line got %+v, want an error", got)
	}
}
