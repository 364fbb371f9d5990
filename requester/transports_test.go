package requester

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An instance must not send a request on a connection to another one that has been idle for so
// long that it may have gone silent.
func TestIdleConnectionToAnotherInstanceIsClosed(t *testing.T) {
	is := is.New(t)
	const stabilityWindow = 4 * time.Second
	closed := make(chan struct{}, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	s.Start()
	defer s.Close()
	r, err := http.NewRequest(http.MethodGet, s.URL, nil)
	is.NoErr(err)
	response, err := newPeerTransports().RoundTrip(r, true)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	select {
	case <-closed:
	case <-time.After(stabilityWindow):
		t.Fatal("the connection is still open")
	}
}
