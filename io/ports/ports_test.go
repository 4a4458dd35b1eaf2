package ports_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tanagerchute/io/ports"
)

// childEnv makes the test binary print addresses and wait until its input ends.
const childEnv = "PORTS_TEST_CHILD"

// addrsPerProcess is more than one block has.
const addrsPerProcess = 700

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	addrs, err := ports.Addrs(addrsPerProcess)
	if err != nil {
		panic(err)
	}
	fmt.Println(strings.Join(addrs, " "))
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n') // returns when the test closes the pipe
}

// TestProcessesShareNoPort guards against "address already in use": several processes took a
// port that was free at the moment, and another one listened on it first.
func TestProcessesShareNoPort(t *testing.T) {
	const processes = 4
	is := is.New(t)
	outputs := make([]*bufio.Reader, processes)
	for i := range outputs {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), childEnv+"=1")
		stdin, err := cmd.StdinPipe()
		is.NoErr(err)
		stdout, err := cmd.StdoutPipe()
		is.NoErr(err)
		is.NoErr(cmd.Start())
		t.Cleanup(func() {
			_ = stdin.Close()
			is.NoErr(cmd.Wait())
		})
		outputs[i] = bufio.NewReader(stdout)
	}
	owner := make(map[string]int)
	for i, out := range outputs {
		line, err := out.ReadString('\n')
		is.NoErr(err)
		addrs := strings.Fields(line)
		is.Equal(len(addrs), addrsPerProcess)
		for _, addr := range addrs {
			if other, ok := owner[addr]; ok {
				t.Fatalf("processes %d and %d have %s", other, i, addr)
			}
			owner[addr] = i
		}
	}
}

// TestPair guards against a pair of which one port is taken.
func TestPair(t *testing.T) {
	is := is.New(t)
	port, err := ports.Pair("127.7.1.1")
	is.NoErr(err)
	taken, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+3))
	is.NoErr(err)
	defer taken.Close()
	next, err := ports.Pair("127.7.1.1")
	is.NoErr(err)
	is.True(next != port+2)
	for _, addr := range []string{fmt.Sprintf("127.7.1.1:%d", next), fmt.Sprintf("127.0.0.1:%d", next+1)} {
		l, err := net.Listen("tcp", addr)
		is.NoErr(err)
		is.NoErr(l.Close())
	}
}

// TestPortsAreHandedOutAgain guards against a process that gets no port after a while.
func TestPortsAreHandedOutAgain(t *testing.T) {
	is := is.New(t)
	for range 4 {
		_, err := ports.Addrs(900)
		is.NoErr(err)
	}
}
