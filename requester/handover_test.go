package requester

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// A handover breaks off: the successor has got some of the tables, the one that stops goes
// on. Only one of them may act on a ticket, through whichever the requests come.
func TestAHandoverThatBreaksOffLeavesOneIssuer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, wholly, wholly)
	var bodies, tickets []string
	for n := range 30 {
		bodies = append(bodies, fmt.Sprint("form-", n))
		tickets = append(tickets, f.ticket(0))
	}
	is.NoErr(f.doors[0].PauseKeyedRequests(context.Background()))
	parts := f.doors[0].ExportHandover()
	for _, part := range parts {
		part.Final = false // the message that would have ended the handover is lost
		f.doors[1].ImportHandover(&part)
	}
	f.doors[0].ResumeKeyedRequests()
	f.resendAll(tickets, bodies)

	// The next try succeeds. What ran before stays run.
	f.handOver(is, 0, 1)
	f.resendAll(tickets, bodies)
}

// The message that ends a handover has arrived, its answer is lost. The one that stops
// cannot know, and must not go on: it passes requests to the successor.
func TestAHandoverWhoseEndIsUnknownLeavesOneIssuer(t *testing.T) {
	for _, arrived := range []bool{true, false} {
		t.Run(fmt.Sprint("arrived: ", arrived), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 3, wholly, wholly)
			ticket := f.ticket(0)
			is.NoErr(f.doors[0].PauseKeyedRequests(context.Background()))
			for _, part := range f.doors[0].ExportHandover() {
				if arrived || !part.Final {
					f.doors[1].ImportHandover(&part)
				}
			}
			f.doors[0].CompleteHandover(f.at[1])
			f.resendAll([]string{ticket}, []string{"form"})
			if arrived {
				is.Equal(f.ran("form"), 1)
			} else {
				is.Equal(f.ran("form"), 0) // nobody has it any more: unknown
			}
		})
	}
}

// resendAll sends each ticket through every door at once and checks what callers are told.
func (f *fleet) resendAll(tickets, bodies []string) {
	for i := range tickets {
		replies := make([]reply, len(f.doors))
		var all sync.WaitGroup
		for door := range f.doors {
			all.Add(1)
			go func() {
				defer all.Done()
				replies[door] = f.send(context.Background(), door, http.MethodPost, tickets[i], bodies[i])
			}()
		}
		all.Wait()
		f.judge(bodies[i], replies)
	}
}
