package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"tanagerchute/io/mesh"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"tanagerchute": main})
}

// TestScripts runs the command tests. Each gets free addresses in STORE and in
// A1 to A8.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: prepare,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await": await,
			"put":   put,
		},
	})
}

func prepare(e *testscript.Env) error {
	addrs, err := mesh.FreeAddrs(9)
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

// expandSettings fills the addresses into the settings files of a script,
// which have the ending .in.
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

// awaitLimit bounds the wait for a process of a script.
const awaitLimit = 20 * time.Second

// await waits until a URL is answered with a status under 500.
func await(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: await URL")
	}
	limit := time.Now().Add(awaitLimit)
	for time.Now().Before(limit) {
		res, err := http.Get(args[0])
		if err == nil {
			res.Body.Close()
			if res.StatusCode < http.StatusInternalServerError {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s does not answer", args[0])
}

// put sends a body to a URL.
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

// TestPagesAreTrue holds that each command on the operators' pages and in the
// README exists with the flags that it is given.
func TestPagesAreTrue(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operate/*.md")
	if err != nil {
		t.Fatal(err)
	}
	commands := 0
	for _, page := range append(pages, "../../README.md", "../../docs/MEASURES.md") {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for n, line := range strings.Split(string(data), "\n") {
			words, ok := commandOf(line)
			if !ok {
				continue
			}
			commands++
			if err := parseCommand(words); err != nil {
				t.Errorf("%s:%d: %s: %v", filepath.Base(page), n+1, strings.Join(words, " "), err)
			}
		}
	}
	if commands < 20 {
		t.Errorf("found %d commands on the pages", commands)
	}
}

// commandOf returns the words of a command line of the binary in an indented
// block of a page.
func commandOf(line string) ([]string, bool) {
	if !strings.HasPrefix(line, "    ") {
		return nil, false
	}
	text, _, _ := strings.Cut(strings.TrimSpace(line), " > ")
	text, _, _ = strings.Cut(text, " 2>")
	text, _, _ = strings.Cut(text, " &")
	for _, start := range []string{"tanagerchute ", "go run ./cmd/tanagerchute "} {
		if rest, ok := strings.CutPrefix(text, start); ok {
			return strings.Fields(rest), true
		}
	}
	return nil, false
}

func parseCommand(words []string) error {
	for _, c := range commands() {
		if c.Name() != words[0] {
			continue
		}
		f := flag.NewFlagSet(words[0], flag.ContinueOnError)
		f.SetOutput(io.Discard)
		c.SetFlags(f)
		return f.Parse(words[1:])
	}
	return fmt.Errorf("there is no command %q", words[0])
}
