package server

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/configurer"
	"almondpick/controller"
	"almondpick/diverter"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func (wallClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// freeAddress returns an address of loopback that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// A store is stopped while it works on a call. The call is answered; one that takes too
// long does not keep the store from stopping.
func TestAPlannedStopAnswersTheCallsUnderWay(t *testing.T) {
	is := is.New(t)
	begun, goOn := make(chan struct{}, 2), make(chan struct{})
	api := func(*controller.Controller) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			begun <- struct{}{}
			if r.URL.Path == "/stuck" {
				<-r.Context().Done()
				return
			}
			<-goOn
			_, _ = io.WriteString(w, "done")
		})
	}
	set := configurer.NodeSettings{
		Name: "127.0.0.1", DataCentre: "dc1", PeerAddress: freeAddress(t), OperatorAddress: freeAddress(t),
		DataFolder: t.TempDir(), FirstStart: true, StopGracePeriod: 6 * time.Second, ToleratedInstanceLosses: 0,
	}
	set.Seeds = []string{set.PeerAddress}
	var codec diverter.Codec
	ready := func(func() bool) http.Handler { return http.NotFoundHandler() }
	n, err := StartNode(set, wallClock{}, slog.New(slog.DiscardHandler), codec, api, ready)
	is.NoErr(err)
	answers := make(chan string, 2)
	for _, path := range []string{"/order", "/stuck"} {
		go func() {
			response, err := http.Get("http://" + set.OperatorAddress + path)
			if err != nil {
				answers <- "cut"
				return
			}
			defer response.Body.Close()
			b, _ := io.ReadAll(response.Body)
			answers <- string(b)
		}()
	}
	<-begun
	<-begun
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), set.StopGracePeriod)
	defer cancel()
	go func() { stopped <- n.Stop(ctx) }()
	for stopping := false; !stopping; { // it takes no more calls
		c, err := net.Dial("tcp4", set.OperatorAddress)
		if stopping = err != nil; !stopping {
			c.Close()
		}
	}
	close(goOn)
	is.Equal(<-answers, "done")
	is.NoErr(<-stopped)
	is.NoErr(ctx.Err())
}
