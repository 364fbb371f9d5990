package requester

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lingering keeps the connection and answers every request on it by behave, which gets
// the number of the request and the bodies of all so far.
func lingering(behave func(c net.Conn, bodies []string)) target {
	return func(f *fleet, c net.Conn, _ *http.Request, body string) {
		bodies := []string{body}
		behave(c, bodies)
		b := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			next, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			f.mu.Lock()
			f.runs[string(next)]++
			f.mu.Unlock()
			bodies = append(bodies, string(next))
			behave(c, bodies)
		}
	}
}

// A target sends a second copy of an answer, late: with the next request on the
// connection, in the same packet as the first copy, or after an informational answer. No
// caller gets an answer that belongs to another request.
func TestALateSecondAnswerReachesNobody(t *testing.T) {
	last := func(bodies []string) string { return bodies[len(bodies)-1] }
	for name, behave := range map[string]func(c net.Conn, bodies []string){
		"with the next request": func(c net.Conn, bodies []string) {
			if len(bodies) > 1 {
				_, _ = io.WriteString(c, answer(bodies[len(bodies)-2]))
			}
			_, _ = io.WriteString(c, answer(last(bodies)))
		},
		"two in one packet": func(c net.Conn, bodies []string) {
			_, _ = io.WriteString(c, answer(last(bodies))+answer(last(bodies)))
		},
		"after an informational one": func(c net.Conn, bodies []string) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+answer(last(bodies))+answer(last(bodies)))
		},
	} {
		for _, doors := range []int{1, 2} {
			t.Run(fmt.Sprint(name, ", instances: ", doors), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, doors, lingering(behave))
				for n := range 20 {
					body := fmt.Sprint("card-", n)
					got := f.send(t.Context(), n%doors, http.MethodGet, "", body)
					is.Equal(got, reply{outcome: OutcomeRan, status: 200, body: "ran " + body})
				}
			})
		}
	}
}

// An answer comes after its caller has given up. The next caller does not get it.
func TestAnAnswerAfterTheTimeoutReachesNobody(t *testing.T) {
	is := is.New(t)
	late := make(chan struct{})
	f := newFleet(t, 1, lingering(func(c net.Conn, bodies []string) {
		if bodies[0] == "slow" {
			<-late
		}
		_, _ = io.WriteString(c, answer(bodies[len(bodies)-1]))
	}))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(f.send(ctx, 0, http.MethodGet, "", "slow").cut)
	close(late)
	for n := range 10 {
		body := fmt.Sprint("card-", n)
		is.Equal(f.send(t.Context(), 0, http.MethodGet, "", body).body, "ran "+body)
	}
}

// brokenOff are answers that end early, each in its own way.
var brokenOff = map[string]string{
	"content-length short":          "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nran x",
	"last byte but one":             "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nran x",
	"chunked without an end":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nran x\r\n",
	"chunk cut":                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nran x",
	"last chunk without its end":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nran x\r\n0\r\n",
	"trailers missing":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Digest\r\n\r\n5\r\nran x\r\n0\r\nDig",
	"compressed, content-length":    "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 40\r\n\r\n\x1f\x8b\x08",
	"no length, ended by the close": "HTTP/1.1 200 OK\r\n\r\nran x",
	"older version, no length":      "HTTP/1.0 200 OK\r\n\r\nran x",
}

// An answer that broke off halfway never reaches a caller as a complete success, with a
// ticket or without, through the instance that dispatches or through another.
func TestABrokenOffAnswerIsNeverACompleteSuccess(t *testing.T) {
	for name, text := range brokenOff {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 2, func(_ *fleet, c net.Conn, _ *http.Request, _ string) { _, _ = io.WriteString(c, text) })
			for door := range f.doors {
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					got := f.send(t.Context(), door, method, "", "y")
					is.True(got.cut || got.status != 200)
					is.True(got.outcome != OutcomeNotRun)
				}
				ticket := f.ticket(door)
				for range 2 {
					got := f.send(t.Context(), 1-door, http.MethodPost, ticket, fmt.Sprint("x", door))
					is.True(got.cut || got.status != 200)
					is.True(got.outcome != OutcomeNotRun)
				}
				is.Equal(f.ran(fmt.Sprint("x", door)), 1)
			}
		})
	}
}

// An answer that has no body needs no length.
func TestAnswersWithoutABodyAreWhole(t *testing.T) {
	is := is.New(t)
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		f := newFleet(t, 1, func(_ *fleet, c net.Conn, _ *http.Request, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n\r\n")
		})
		got := f.send(t.Context(), 0, http.MethodGet, "", "y")
		is.Equal(got.outcome, OutcomeRan)
		is.True(strings.HasPrefix(status, fmt.Sprint(got.status)))
	}
}

// Work that may be repeated ran at one target, whose answer was lost, and is refused by
// all others: it was run, so nobody is told that it was not.
func TestWorkThatRanBeforeARetryIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	var first sync.Once
	behave := func(f *fleet, c net.Conn, r *http.Request, body string) {
		if body != "card" {
			wholly(f, c, r, body)
			return
		}
		lost := false
		first.Do(func() { lost = true })
		if !lost {
			sheds(f, c, r, body)
		}
	}
	f := newFleet(t, 1, behave, behave, behave)
	for n := range 100 { // they pay for retries
		is.Equal(f.send(t.Context(), 0, http.MethodGet, "", fmt.Sprint(n)).outcome, OutcomeRan)
	}
	got := f.send(t.Context(), 0, http.MethodGet, "", "card")
	is.Equal(f.ran("card"), 1)
	is.Equal(got.outcome, OutcomeUnknown)
	again := f.send(t.Context(), 0, http.MethodGet, "", "card") // all shed this one
	is.Equal(again.outcome, OutcomeNotRun)
}

// Callers go on sending while the door stops as planned, on connections that they keep
// and on new ones. Each request is answered; none is cut.
func TestAPlannedStopAnswersAllThatItAccepted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, wholly)
	var callers sync.WaitGroup
	var answered, cut atomic.Int64
	leaving := make(chan struct{})
	for n := range 32 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-leaving: // the caller has seen that the door is not ready
					return
				default:
				}
				// A body that cannot be sent twice keeps the client from asking again by itself.
				body := io.NopCloser(strings.NewReader(fmt.Sprint(n, "-", i)))
				r, err := http.NewRequest(http.MethodPost, "http://"+f.at[0]+"/form", body)
				is.NoErr(err)
				r.Host = "forms.example"
				response, err := client.Do(r)
				whole := err == nil
				if whole {
					_, err = io.ReadAll(response.Body)
					response.Body.Close()
					whole = err == nil && response.StatusCode == 200
				}
				if whole {
					answered.Add(1)
				} else {
					cut.Add(1)
				}
			}
		}()
	}
	const some = 200 // requests
	reached := func(n int64) {
		for answered.Load()+cut.Load() < n {
			runtime.Gosched()
		}
	}
	reached(some)
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopped <- f.doors[0].Shutdown(ctx)
	}()
	for !f.doors[0].leaving.Load() {
		runtime.Gosched()
	}
	reached(answered.Load() + some) // callers learn late that the door stops
	close(leaving)
	callers.Wait()
	is.NoErr(<-stopped)
	is.Equal(cut.Load(), int64(0))
}
