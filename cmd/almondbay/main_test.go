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

// result is what a command left behind.
type result struct {
	code     int
	out      string
	problems string
}

func command(t *testing.T, args ...string) result {
	t.Helper()
	var out, problems bytes.Buffer
	code := execute(args, session{ctx: t.Context(), out: &out}, &problems)
	return result{code, out.String(), problems.String()}
}

// startDev runs the dev command until the test ends.
func startDev(t *testing.T) devLine {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	read, write := io.Pipe()
	var group errgroup.Group
	group.Go(func() error {
		execute([]string{"dev", "--json", "--listen", "127.0.0.1:0"}, session{ctx: ctx, out: write}, io.Discard)
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
	var line devLine
	if err := json.Unmarshal([]byte(text), &line); err != nil {
		t.Fatal(err)
	}
	return line
}

func write(t *testing.T, name, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const secondDocument = `{"models": [{"name": "demo", "version": "2", "groups": 2, "span": 4}]}`

// chat streams one answer and returns it whole.
func chat(t *testing.T, dev devLine) string {
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

func TestOperatorsCommands(t *testing.T) {
	dev := startDev(t)
	if answer := chat(t, dev); !strings.Contains(answer, "[DONE]") {
		t.Errorf("the first request got %q", answer)
	}
	t.Setenv("ALMONDBAY_OPERATOR_KEY", dev.AdminKey)
	server := "http://" + dev.AdminAddress
	file := write(t, "second.jsonc", secondDocument)
	steps := []struct {
		args []string
		code int
		out  string
		// problems is what the command must say about its refusal.
		problems string
	}{
		{[]string{"status"}, exitDone, "revision", ""},
		{[]string{"diff", file}, exitDone, "~ models/demo/version: 1 -> 2", ""},
		{[]string{"apply", "--parent", "7", file}, exitRefused, "", "at revision 1 by dev, not at 7"},
		{[]string{"apply", "--parent", "1", "--operation", "second", file}, exitDone, "dev is at revision 2", ""},
		{[]string{"apply", "--parent", "1", "--operation", "second", file}, exitDone, "dev is at revision 2", ""},
		{[]string{"diff", file}, exitDone, "no changes", ""},
		{[]string{"undo", "--to", "1", "--parent", "1"}, exitRefused, "", "~ models/demo/version: 1 -> 2"},
		{[]string{"undo", "--to", "1"}, exitDone, "dev is at revision 3", ""},
		{[]string{"promote", "--source", "dev", "--source-revision", "2", "-e", "production"}, exitRefused, "", "at revision 3"},
		{[]string{"promote", "--source", "dev", "-e", "production"}, exitDone, "production is at revision 1", ""},
		{[]string{"diff", "--source", "dev", "-e", "production"}, exitDone, "no changes", ""},
		{[]string{"diff", "--source", "nowhere"}, exitRefused, "", `"nowhere" has no document`},
		{[]string{"history", "-e", "production"}, exitDone, "dev/3", ""},
		{[]string{"drain", "vm-1"}, exitDone, "receives no new work", ""},
		{[]string{"drain", "--cancel", "vm-1"}, exitDone, "may receive work again", ""},
		{[]string{"report", "burn"}, exitDone, "default    demo   95%     1", ""},
		{[]string{"history", "--key", "wrong"}, exitRefused, "", "key is not valid"},
		{[]string{"history", "--key", dev.Key}, exitRefused, "", "key is not valid"},
	}
	for _, step := range steps {
		args := append(slices.Clone(step.args), "--server", server)
		got := command(t, args...)
		if got.code != step.code || !strings.Contains(got.out, step.out) || !strings.Contains(got.problems, step.problems) {
			t.Errorf("%v got %+v", step.args, got)
		}
		if strings.Contains(got.out+got.problems, dev.Key) || strings.Contains(got.out+got.problems, dev.AdminKey) {
			t.Errorf("%v shows a key", step.args)
		}
		if step.code == exitDone {
			var parsed any
			got := command(t, append(args, "--json")...)
			if err := json.Unmarshal([]byte(got.out), &parsed); err != nil {
				t.Errorf("%v --json printed %q: %v", step.args, got.out, err)
			}
		}
	}
	page := filepath.Join(t.TempDir(), "burn.html")
	if got := command(t, "report", "burn", "--html", page, "--server", server); got.code != exitDone {
		t.Errorf("report burn --html got %+v", got)
	}
}

func TestUnknownOutcomeTellsHowToFindOut(t *testing.T) {
	file := write(t, "second.jsonc", secondDocument)
	lost := startBroken(t)
	got := command(t, "apply", "--server", lost, "--key", "k", "-e", "trial", "--parent", "4", "--operation", "op", file)
	want := "--environment trial --operation op --parent 4"
	if got.code != exitUnknown || !strings.Contains(got.problems, want) || !strings.Contains(got.problems, "almondbay history --environment trial") {
		t.Errorf("got %+v", got)
	}
	if got := command(t, "drain", "vm-1", "--server", lost, "--key", "k"); got.code != exitUnknown {
		t.Errorf("got %+v", got)
	}
	if got := command(t, "apply", "--server", "http://127.0.0.1:1", "--key", "k", "-e", "trial", "--parent", "4", file); got.code != exitRefused {
		t.Errorf("without a connection, got %+v", got)
	}
}

// startBroken starts a server that takes requests and breaks connections.
func startBroken(t *testing.T) string {
	t.Helper()
	return startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
}

func TestCheck(t *testing.T) {
	good := write(t, "good.jsonc", secondDocument)
	bad := write(t, "bad.jsonc", "{\n  \"models\": [{\"name\": \"demo\", \"version\": \"1\", \"span\": 0, \"group\": 1}],\n}")
	settings := write(t, "settings.jsonc", `{"node": "a"}`)
	if got := command(t, "check", good); got.code != exitDone || !strings.Contains(got.out, "no faults") {
		t.Errorf("got %+v", got)
	}
	got := command(t, "check", good, bad, settings)
	for _, want := range []string{bad + ":2:55: /models/0/span", bad + ":2:58: /models/0/group: unknown field", settings + ":1:1: /peer/keys"} {
		if got.code != exitRefused || !strings.Contains(got.problems, want) {
			t.Errorf("want %q in %+v", want, got)
		}
	}
	var line checkLine
	got = command(t, "check", "--json", good, bad, settings)
	if err := json.Unmarshal([]byte(got.out), &line); err != nil || got.code != exitRefused || len(line.Files) != 3 || line.Files[2].Kind != kindSettings {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestUsage(t *testing.T) {
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
		{[]string{"completion", "bash"}, exitDone},
		{[]string{"version"}, exitDone},
		{[]string{"explain"}, exitUsage},
		{[]string{"explain", "ID", "/nowhere/node.log"}, exitRefused},
		{[]string{"--help"}, exitDone},
		{[]string{"check", "/nowhere/document.jsonc"}, exitRefused},
	}
	for _, test := range tests {
		if got := command(t, test.args...); got.code != test.code {
			t.Errorf("%v got %+v, want exit code %d", test.args, got, test.code)
		}
	}
}

var update = flag.Bool("update", false, "write the help of the commands into docs/commands")

// checkPage holds the first block of code in a command's page against its help.
func checkPage(t *testing.T, path []string, text, help string) {
	t.Helper()
	const fence = "```"
	file := "../../docs/commands/" + strings.Join(path, "-") + ".md"
	page, err := os.ReadFile(file)
	if err != nil {
		page = []byte("# almondbay " + strings.Join(path, " ") + "\n\n" + text + "\n\n" + fence + fence + "\n")
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
	t.Errorf("%s does not hold the help of the command; run this test with -update", file)
}

// TestCommandPages holds the help of each command and its page against each
// other.
func TestCommandPages(t *testing.T) {
	s := &session{}
	var check func(prefix []string, commands []subcommand)
	check = func(prefix []string, commands []subcommand) {
		for _, c := range commands {
			path := append(slices.Clone(prefix), c.name)
			if len(c.parts) > 0 {
				check(path, c.parts)
				continue
			}
			help := command(t, append(path, "--help")...)
			if c.example == "" || !strings.Contains(help.out, c.example) {
				t.Errorf("the help of %v shows no example", path)
			}
			checkPage(t, path, c.text, "\n"+strings.TrimSpace(help.out)+"\n")
		}
	}
	check(nil, subcommands(s, newParser(s)))
}

func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// TestExplain finds a refused request in the log of a node.
func TestExplain(t *testing.T) {
	log := write(t, "edge-a-1.log", `{"ts":90.0,"msg":"heads changed","event":951,"service":"llm","model":"large","heads":2}
{"ts":100.0,"msg":"request ended","event":901,"request":"ID","service":"llm","model":"large","outcome":"refused","status":503,"cause":"no room","tries":""}
`)
	for _, tt := range []struct {
		args []string
		want string
	}{
		{[]string{"explain", "ID", log}, "refused before it ran: no room; 2 heads"},
		{[]string{"explain", "--json", "ID", log}, `"origin": "edge-a-1"`},
	} {
		if got := command(t, tt.args...); got.code != exitDone || !strings.Contains(got.out, tt.want) {
			t.Errorf("%v got %+v, want %q", tt.args, got, tt.want)
		}
	}
	if got := command(t, "explain", "another", log); got.code == exitDone {
		t.Errorf("a request without a line got %+v", got)
	}
}
