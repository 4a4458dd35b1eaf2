package ahead_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"tanagerchute/io/ahead"
)

// newRefusingSite returns a server that answers with the refusal and the path of each request. It
// tells held of those whose path starts with /held, and holds them until release is called.
func newRefusingSite(t *testing.T, cfg ahead.Config) (s *site, held chan struct{}, release func()) {
	held = make(chan struct{}, 1)
	hold := make(chan struct{})
	release = sync.OnceFunc(func() { close(hold) })
	cfg.Depth = 4
	cfg.Eligible = func(*http.Request) bool { return true }
	cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/held") {
			held <- struct{}{}
			<-hold
		}
		fmt.Fprint(w, ahead.RefusalOf(r.Context()), " ", r.URL.Path)
	})
	s = newUnstartedSiteOf(t, ahead.New(cfg))
	s.Start()
	t.Cleanup(release) // before the server is closed
	return s, held, release
}

// getWith returns a request with further n bytes of headers.
func getWith(path string, n int) string {
	return strings.Replace(get(path), "\r\n\r\n", "\r\nX-Large: "+strings.Repeat("a", n)+"\r\n\r\n", 1)
}

// TestTooLargeHeadIsRefusedInTurn guards against a caller that sends a head without an end, all of
// which is kept. The request in front of it is answered first, and the connection is closed behind
// it.
func TestTooLargeHeadIsRefusedInTurn(t *testing.T) {
	is := is.New(t)
	s, _, _ := newRefusingSite(t, ahead.Config{MaxHead: func() int { return 8 << 10 }})
	conn, r := s.dial(t)
	_, _ = io.WriteString(conn, getWith("/1", 7<<10)+strings.TrimSuffix(getWith("/2", 9<<10), "\r\n\r\n"))
	is.Equal(readAnswer(t, r), fmt.Sprint(ahead.NotRefused, " /1"))
	is.Equal(readAnswer(t, r), fmt.Sprint(ahead.HeadTooLarge, " /"))
	_, err := r.ReadByte()
	is.True(err != nil) // closed
}

// TestLargeHeadsShareRoom guards against many large heads that together take all memory: one that
// has no room is refused, and the room is given back when the request that had it is answered.
func TestLargeHeadsShareRoom(t *testing.T) {
	is := is.New(t)
	s, held, release := newRefusingSite(t, ahead.Config{RoomBytes: 10 << 10})
	first, firstAnswers := s.dial(t)
	_, _ = io.WriteString(first, get("/small")+getWith("/held", 6<<10))
	is.Equal(readAnswer(t, firstAnswers), fmt.Sprint(ahead.NotRefused, " /small"))
	<-held
	second, answers := s.dial(t)
	_, _ = io.WriteString(second, getWith("/2", 6<<10))
	is.Equal(readAnswer(t, answers), fmt.Sprint(ahead.NoRoom, " /"))
	third, answers := s.dial(t)
	_, _ = io.WriteString(third, getWith("/3", 2<<10))
	is.Equal(readAnswer(t, answers), fmt.Sprint(ahead.NotRefused, " /3")) // a small head needs no room
	release()
	is.Equal(readAnswer(t, firstAnswers), fmt.Sprint(ahead.NotRefused, " /held"))
	await(t, "there is room again", func() bool {
		fourth, answers := s.dial(t)
		_, _ = io.WriteString(fourth, getWith("/4", 6<<10))
		return readAnswer(t, answers) == fmt.Sprint(ahead.NotRefused, " /4")
	})
}
