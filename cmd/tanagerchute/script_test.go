package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"tanagerchute/io/ports"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"tanagerchute": main})
}

// TestScripts runs the scripts in testdata/script. Each finds free addresses in
// the environment variables STORE and A1 to A8.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setUpScript,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await": await,
			"put":   put,
		},
	})
}

// setUpScript sets the address variables of a script and writes its files.
func setUpScript(e *testscript.Env) error {
	addrs, err := ports.Addrs(9)
	if err != nil {
		return err
	}
	e.Setenv("STORE", addrs[0])
	for i, a := range addrs[1:] {
		e.Setenv("A"+string(rune('1'+i)), a)
	}
	for _, name := range []string{"mesh.jsonc"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", "nordurljos", name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(e.WorkDir, name), data, 0o600); err != nil {
			return err
		}
	}
	return expandSettings(e)
}

// expandSettings expands the environment variables in each file with the suffix
// .in, and writes the result to a file without it.
func expandSettings(e *testscript.Env) error {
	files, err := filepath.Glob(filepath.Join(e.WorkDir, "*.in"))
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		text := os.Expand(string(data), e.Getenv)
		if err := os.WriteFile(strings.TrimSuffix(file, ".in"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// awaitTimeout bounds the wait until a process that a script started answers.
const awaitTimeout = 20 * time.Second

// await waits until a GET of a URL is answered with a status below 500 and, if a
// pattern is given, with a body that matches it.
func await(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 && len(args) != 2 {
		ts.Fatalf("usage: await URL [PATTERN]")
	}
	pattern := regexp.MustCompile("")
	if len(args) == 2 {
		pattern = regexp.MustCompile(args[1])
	}
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		if answers(args[0], pattern) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s does not answer as awaited", args[0])
}

// answers reports whether a GET of a URL is answered with a status below 500 and a
// body that matches pattern.
func answers(url string, pattern *regexp.Regexp) bool {
	res, err := http.Get(url)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return err == nil && res.StatusCode < http.StatusInternalServerError && pattern.Match(body)
}

// put sends a PUT request with a body to a URL. The status must be 200.
func put(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: put URL BODY")
	}
	req, err := http.NewRequest(http.MethodPut, args[0], strings.NewReader(args[1]))
	ts.Check(err)
	res, err := http.DefaultClient.Do(req)
	ts.Check(err)
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		ts.Fatalf("status %d", res.StatusCode)
	}
}

// TestDocumentedCommandsParse guards against documentation that lags behind the
// code: each command line in the operators' pages and in the README must name an
// existing command with existing flags.
func TestDocumentedCommandsParse(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operate/*.md")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, page := range append(pages, "../../README.md", "../../docs/MEASURES.md") {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for n, line := range strings.Split(string(data), "\n") {
			args, ok := commandArgs(line)
			if !ok {
				continue
			}
			found++
			if err := parseFlags(args); err != nil {
				t.Errorf("%s:%d: %s: %v", filepath.Base(page), n+1, strings.Join(args, " "), err)
			}
		}
	}
	if found < 20 {
		t.Errorf("found only %d command lines in the pages", found)
	}
}

// commandArgs returns the arguments of a tanagerchute command line in an indented
// block of a page. It reports false for any other line.
func commandArgs(line string) ([]string, bool) {
	if !strings.HasPrefix(line, "    ") {
		return nil, false
	}
	command, _, _ := strings.Cut(strings.TrimSpace(line), " > ")
	command, _, _ = strings.Cut(command, " 2>")
	command, _, _ = strings.Cut(command, " &")
	for _, prefix := range []string{"tanagerchute ", "go run ./cmd/tanagerchute "} {
		if rest, ok := strings.CutPrefix(command, prefix); ok {
			return strings.Fields(rest), true
		}
	}
	return nil, false
}

// parseFlags parses args, the name of a command and its arguments, as the command
// does.
func parseFlags(args []string) error {
	for _, c := range commands() {
		if c.Name() != args[0] {
			continue
		}
		f := flag.NewFlagSet(args[0], flag.ContinueOnError)
		f.SetOutput(io.Discard)
		c.SetFlags(f)
		return f.Parse(args[1:])
	}
	return fmt.Errorf("there is no command %q", args[0])
}
