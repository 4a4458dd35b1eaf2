package mesh_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/mesh"
	"tanagerchute/io/server"
)

const (
	numPipelined  = 6
	pipelinedWork = 400 * time.Millisecond
)

// startPipelined starts two nodes of a service, whose callers may pipeline requests.
func startPipelined(t *testing.T) (*mesh.Mesh, context.Context) {
	t.Helper()
	return start(t, mesh.Config{
		Document: []byte(patientDocument), Linger: time.Second, NoHedge: true, PipelineDepth: numPipelined,
		Instances: mesh.InstanceSpecs([]string{"hafnar"}, map[string]int{"skraning": 2}),
	})
}

// pipelinedPath returns the path of the pipelined request i.
func pipelinedPath(i int) string { return fmt.Sprint("/places/", i) }

// sendPipelined sends numPipelined requests to a node at once.
func sendPipelined(t *testing.T, ctx context.Context, in *mesh.Instance) *bufio.Reader {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", in.Settings.Listen.Callers)
	is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	deadline, _ := ctx.Deadline()
	is.NoErr(conn.SetDeadline(deadline))
	var requests strings.Builder
	for i := range numPipelined {
		fmt.Fprintf(&requests, "GET %s?work=%s HTTP/1.1\r\nHost: skraning\r\n\r\n", pipelinedPath(i), pipelinedWork)
	}
	_, err = io.WriteString(conn, requests.String())
	is.NoErr(err)
	return bufio.NewReader(conn)
}

// readPipelined reads the responses to sendPipelined, and checks that each is there and in
// its place. It returns the number of the response that closes the connection, -1 if none
// does.
func readPipelined(t *testing.T, r *bufio.Reader) (closedBy int) {
	t.Helper()
	is := is.New(t)
	closedBy = -1
	for i := range numPipelined {
		res, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.True(strings.HasPrefix(string(body), server.Text("skraning", http.MethodGet, pipelinedPath(i), "")))
		if res.Close {
			closedBy = i
		}
	}
	return closedBy
}

// TestPipelinedLookups guards against pipelined requests that run one after the other or
// are answered in another order, at a node that carries the calls of a caller.
func TestPipelinedLookups(t *testing.T) {
	is := is.New(t)
	m, ctx := startPipelined(t)
	started := time.Now()
	is.Equal(readPipelined(t, sendPipelined(t, ctx, m.Instances[0])), -1)
	elapsed := time.Since(started)
	t.Logf("%d requests of %s in %s", numPipelined, pipelinedWork, elapsed)
	is.True(elapsed < numPipelined/2*pipelinedWork)
}

// TestPlannedStopAnswersPipelined guards against a planned stop that loses pipelined
// requests which have been started, or that leaves their connection open.
func TestPlannedStopAnswersPipelined(t *testing.T) {
	is := is.New(t)
	m, ctx := startPipelined(t)
	r := sendPipelined(t, ctx, m.Instances[0])
	time.Sleep(pipelinedWork / 2)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		m.Stop(0)
	}()
	is.Equal(readPipelined(t, r), numPipelined-1) // the last one closes the connection
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
	<-stopped
}
