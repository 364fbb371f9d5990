package requester

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/dispatcher"
	"almondpick/issuer"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func (wallClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// fleet is a few doors and targets with what the targets have seen.
type fleet struct {
	t       *testing.T
	doors   []*Proxy
	at      []string
	targets []Target
	down    map[int]bool

	mu   sync.Mutex
	runs map[string]int // by the body of the request
}

// target is how a stand-in target answers; it gets the connection after the request
// was read and recorded.
type target func(f *fleet, c net.Conn, r *http.Request, body string)

// answer is a whole answer that names the request it belongs to.
func answer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+4, "ran "+body)
}

func wholly(_ *fleet, c net.Conn, _ *http.Request, body string) {
	_, _ = io.WriteString(c, answer(body))
}

// cutAt answers the first n bytes and closes.
func cutAt(n int) target {
	return func(_ *fleet, c net.Conn, _ *http.Request, body string) {
		_, _ = io.WriteString(c, answer(body)[:n])
	}
}

func sheds(f *fleet, c net.Conn, _ *http.Request, body string) {
	f.mu.Lock()
	f.runs[body]-- // it did not run
	f.mu.Unlock()
	_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nAlmondpick-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
}

func (f *fleet) addTarget(behave target) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c, behave)
		}
	}()
	f.targets = append(f.targets, Target{
		Target: dispatcher.Target{Name: fmt.Sprintf("t%d", len(f.targets)), Slots: 4, Eligible: true},
		Job:    "forms", RequestAddress: l.Addr().(*net.TCPAddr).AddrPort(),
	})
}

func (f *fleet) serve(c net.Conn, behave target) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.mu.Lock()
	f.runs[string(body)]++
	f.mu.Unlock()
	behave(f, c, r, string(body))
}

func newFleet(t *testing.T, doors int, behave ...target) *fleet {
	f := &fleet{t: t, runs: make(map[string]int), down: make(map[int]bool)}
	for _, b := range behave {
		f.addTarget(b)
	}
	for i := range doors {
		f.start(i)
	}
	f.publish(nil)
	t.Cleanup(func() {
		for i, d := range f.doors {
			if !f.down[i] {
				d.Close()
			}
		}
	})
	return f
}

func (f *fleet) start(i int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	d, err := New(fmt.Sprintf("i%d", i+1), uint64(i+1), l, wallClock{}, issuer.NewSigner([]byte("key")))
	if err != nil {
		f.t.Fatal(err)
	}
	f.doors = append(f.doors, d)
	f.at = append(f.at, l.Addr().String())
}

// publish gives every door the view that all that are up make.
func (f *fleet) publish(moved map[string]string) {
	v := View{
		Services: []Service{{Name: "forms", HostNames: []string{"forms.example"}, Jobs: []string{"forms"}, MaxWait: 5 * time.Second}},
		Targets:  f.targets, IssuerAddresses: make(map[string]string),
	}
	for i, d := range f.doors {
		if !f.down[i] {
			v.Peers = append(v.Peers, Peer{Name: d.name, RequestAddress: f.at[i]})
			v.IssuerAddresses[d.IssuerID()] = f.at[i]
		}
	}
	for owner, to := range moved {
		v.IssuerAddresses[owner] = to
	}
	for i, d := range f.doors {
		one := v
		one.RequestAddress = f.at[i]
		d.SetView(one)
	}
}

// reply is what a caller got.
type reply struct {
	outcome Outcome
	status  int
	body    string
	cut     bool
}

func (f *fleet) send(ctx context.Context, door int, method, ticket, body string) reply {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.at[door]+"/form", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "forms.example"
	if ticket != "" {
		r.Header.Set(HeaderIdempotencyKey, ticket)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{cut: true}
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return reply{outcome: Outcome(response.Header.Get(HeaderOutcome)), status: response.StatusCode, body: string(b), cut: err != nil}
}

func (f *fleet) ticket(door int) string {
	response, err := http.Post("http://"+f.at[door]+"/v1/tickets", "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var a IdempotencyKeyResponse
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		f.t.Fatal(err)
	}
	return a.Key
}

func (f *fleet) ran(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

func TestTicketRunsOnceThroughTwoInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, wholly)
	ticket := f.ticket(0)
	for door := range f.doors {
		got := f.send(t.Context(), door, http.MethodPost, ticket, "a")
		is.Equal(got, reply{outcome: OutcomeRan, status: 200, body: "ran a"})
	}
	is.Equal(f.ran("a"), 1)
}

// checked sends the same ticket again and again from several callers through any door,
// and checks what the callers were told against what the targets saw.
func checked(t *testing.T, f *fleet, seed uint64, tickets int, trouble func(n int)) {
	random := rand.New(rand.NewPCG(seed, 5))
	var all sync.WaitGroup
	var mu sync.Mutex
	for n := range tickets {
		body := fmt.Sprintf("form-%d-%d", seed, n)
		ticket := f.ticket(random.IntN(len(f.doors)))
		order := random.Perm(len(f.doors))
		all.Add(1)
		go func() {
			defer all.Done()
			var replies []reply
			var both sync.WaitGroup
			for _, door := range order {
				both.Add(1)
				go func() {
					defer both.Done()
					got := f.send(context.Background(), door, http.MethodPost, ticket, body)
					mu.Lock()
					replies = append(replies, got)
					mu.Unlock()
				}()
			}
			both.Wait()
			f.judge(body, replies)
		}()
		if trouble != nil {
			trouble(n)
		}
	}
	all.Wait()
}

// judge compares the replies to the requests of one ticket with what was run.
func (f *fleet) judge(body string, replies []reply) {
	runs := f.ran(body)
	if runs > 1 {
		f.t.Errorf("%s ran %d times", body, runs)
	}
	final := true
	for _, r := range replies {
		if r.status == 200 && !r.cut && r.body != "ran "+body {
			f.t.Errorf("%s was answered %q", body, r.body)
		}
		final = final && r.outcome == OutcomeNotRun
	}
	if final && len(replies) > 0 && runs > 0 {
		f.t.Errorf("%s was called not run by all, and ran", body)
	}
}

func TestTicketsUnderTargetsThatShedBreakAndAnswer(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(t, 3, wholly, sheds, cutAt(0), cutAt(30), wholly)
		checked(t, f, seed, 40, nil)
	}
}

func TestTargetDeathAtEachByteOfItsAnswer(t *testing.T) {
	is := is.New(t)
	whole := answer("x")
	for n := range len(whole) {
		f := newFleet(t, 2, cutAt(n))
		ticket := f.ticket(0)
		first := f.send(t.Context(), 1, http.MethodPost, ticket, "x")
		is.True(first.outcome != OutcomeNotRun)     // it ran
		is.True(first.cut || first.body != "ran x") // and is not passed on as whole
		second := f.send(t.Context(), 0, http.MethodPost, ticket, "x")
		is.True(second.outcome != OutcomeNotRun && second.status != 200)
		is.Equal(f.ran("x"), 1)
		plain := f.send(t.Context(), 0, http.MethodPost, "", "y") // without a ticket: sent once, never retried
		is.True(plain.outcome != OutcomeNotRun || plain.cut)
		is.Equal(f.ran("y"), 1)
	}
}

func TestShedWorkIsTriedElsewhereAndSaidNotRunInTheEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, sheds, wholly)
	for i := range 20 {
		got := f.send(t.Context(), i%2, http.MethodPost, f.ticket(0), fmt.Sprint(i))
		is.Equal(got.outcome, OutcomeRan)
	}
	all := newFleet(t, 2, sheds)
	ticket := all.ticket(0)
	got := all.send(t.Context(), 0, http.MethodPost, ticket, "z")
	is.Equal(got.outcome, OutcomeNotRun)
	is.Equal(all.ran("z"), 0)
	all.addTarget(wholly)
	all.publish(nil)
	got = all.send(t.Context(), 1, http.MethodPost, ticket, "z") // the same ticket may run now
	is.Equal(got.outcome, OutcomeRan)
}

func TestTargetThatCannotBeReachedIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	f.targets = []Target{{Target: dispatcher.Target{Name: "gone", Slots: 1, Eligible: true}, Job: "forms", RequestAddress: netip.MustParseAddrPort("127.0.0.1:1")}}
	f.publish(nil)
	got := f.send(t.Context(), 0, http.MethodPost, f.ticket(0), "a")
	is.Equal(got.outcome, OutcomeNotRun)
}

func TestIssuerThatDiedLeavesUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, wholly)
	ticket := f.ticket(1)
	is.Equal(f.send(t.Context(), 0, http.MethodPost, ticket, "a").outcome, OutcomeRan)
	f.doors[1].Close()
	f.down[1] = true
	is.Equal(f.send(t.Context(), 0, http.MethodPost, ticket, "a").outcome, OutcomeUnknown) // not noticed yet
	f.publish(nil)
	is.Equal(f.send(t.Context(), 2, http.MethodPost, ticket, "a").outcome, OutcomeUnknown)
	is.Equal(f.ran("a"), 1)
}

// handOver does what a planned stop does with the tickets of a door.
func (f *fleet) handOver(is *is.I, from, to int) {
	is.NoErr(f.doors[from].PauseKeyedRequests(context.Background()))
	moved := make(map[string]string)
	for _, part := range f.doors[from].ExportHandover() {
		f.doors[to].ImportHandover(&part)
		moved[part.Owner] = f.at[to]
	}
	f.doors[from].CompleteHandover(f.at[to])
	f.publish(moved)
}

func TestPlannedStopLeavesNoUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, wholly, wholly)
	var all sync.WaitGroup
	for n := range 60 {
		body := fmt.Sprint("form-", n)
		ticket := f.ticket(1)
		all.Add(1)
		go func() {
			defer all.Done()
			for _, door := range []int{0, 2, 1} {
				got := f.send(context.Background(), door, http.MethodPost, ticket, body)
				if got.outcome != OutcomeRan {
					t.Errorf("%s through %d: %+v", body, door, got)
				}
			}
			if f.ran(body) != 1 {
				t.Errorf("%s ran %d times", body, f.ran(body))
			}
		}()
		if n == 30 {
			f.handOver(is, 1, 2)
		}
	}
	all.Wait()
	is.True(f.ticket(1) != "") // the one that stops still answers, through its successor
}

// TestCheckCatchesATableThatForgets makes sure that the check above can fail.
func TestCheckCatchesATableThatForgets(t *testing.T) {
	quiet := &testing.T{}
	f := newFleet(t, 1, wholly)
	f.t = quiet
	ticket := f.ticket(0)
	for range 2 {
		f.send(context.Background(), 0, http.MethodPost, ticket, "a")
		parsed, err := f.doors[0].signer.ParseKey(ticket)
		if err != nil {
			t.Fatal(err)
		}
		f.doors[0].tables[parsed.IssuerID()] = issuer.NewKeyTable()
		f.doors[0].tables[parsed.IssuerID()].Issue(0)
	}
	f.judge("a", nil)
	if !quiet.Failed() {
		t.Fatal("work that ran twice was not noticed")
	}
}

func TestHostileRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, wholly)
	is.Equal(f.send(t.Context(), 0, http.MethodPost, "i1~1~1~0000", "a").status, http.StatusBadRequest)
	ticket := f.ticket(0)
	f.send(t.Context(), 0, http.MethodPost, ticket, "b")
	is.Equal(f.send(t.Context(), 0, http.MethodPut, ticket, "b").status, http.StatusUnprocessableEntity) // another request
	r, err := http.NewRequest(http.MethodGet, "http://"+f.at[0]+"/", nil)
	is.NoErr(err)
	r.Host = "menus.example"
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusNotFound)
	is.Equal(response.Header.Get("Content-Type"), "application/problem+json")
	r.Host = "forms.example"
	r.Header.Set(HeaderTimeout, "-1")
	response, err = http.DefaultClient.Do(r)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.Equal(f.ran(""), 0)
}

func TestDeadlineBeforeTheStartIsNotRunAndAfterItUnknown(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	hold := func(_ *fleet, c net.Conn, _ *http.Request, body string) {
		<-release
		_, _ = io.WriteString(c, answer(body))
	}
	f := newFleet(t, 1, hold)
	defer close(release)
	send := func(body, timeout string) reply {
		r, err := http.NewRequest(http.MethodPost, "http://"+f.at[0]+"/", strings.NewReader(body))
		is.NoErr(err)
		r.Host = "forms.example"
		r.Header.Set(HeaderTimeout, timeout)
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer response.Body.Close()
		return reply{outcome: Outcome(response.Header.Get(HeaderOutcome)), status: response.StatusCode}
	}
	const slots = 4
	var all sync.WaitGroup
	started := make(chan Outcome, slots)
	for i := range slots {
		all.Add(1)
		go func() {
			defer all.Done()
			started <- send(fmt.Sprint("started-", i), "3").outcome
		}()
	}
	for n := 0; n < slots; {
		n = 0
		for i := range slots {
			n += f.ran(fmt.Sprint("started-", i))
		}
		runtime.Gosched()
	}
	// Every slot is taken for longer than these may wait, so none of them starts.
	for i := range slots {
		body := fmt.Sprint("waits-", i)
		is.Equal(send(body, "0.1").outcome, OutcomeNotRun)
		is.Equal(f.ran(body), 0)
	}
	all.Wait()
	close(started)
	for o := range started {
		is.Equal(o, OutcomeUnknown) // it reached the target, and nobody knows more
	}
}
