package controller

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/gossiper"
	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func (wallClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// newWires returns wires without controllers.
func newWires(t *testing.T) *wires {
	t.Helper()
	keys, err := messenger.NewKeys(make([]byte, messenger.GroupKeySize))
	if err != nil {
		t.Fatal(err)
	}
	return &wires{keys: keys, members: make(map[string]*Controller), election: 200 * time.Millisecond}
}

// wires connects controllers in one process.
type wires struct {
	mu       sync.Mutex
	keys     messenger.Keys
	members  map[string]*Controller // by peer address
	election time.Duration
}

func (w *wires) at(address string) *Controller {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members[address]
}

// end is one controller's way to the others.
type end struct {
	*wires
	self string
}

func (e end) Datagram(to string, b []byte) {
	if c := e.at(to); c != nil {
		if _, body, err := e.keys.Open(b); err == nil {
			_, _ = c.Gossip(e.self, append([]byte(nil), body...))
		}
	}
}

func (e end) Exchange(to string, m voter.Message) {
	if c := e.at(to); c != nil {
		c.Step([]voter.Message{m})
	}
}

func (e end) Fetch(ctx context.Context, to string, after uint64) (*messenger.FetchReply, error) {
	if c := e.at(to); c != nil {
		return c.Fetch(ctx, after)
	}
	return nil, &ClosedError{}
}

func (e end) Propose(ctx context.Context, to string, cmd planner.Command) (*planner.Answer, error) {
	if c := e.at(to); c != nil {
		a, err := c.Submit(ctx, cmd)
		return &a, err
	}
	return nil, &ClosedError{}
}

func (e end) Read(ctx context.Context, to string) (*messenger.ReadReply, error) {
	if c := e.at(to); c != nil {
		return c.ReadIndex(ctx)
	}
	return nil, &ClosedError{}
}

func (e end) Records(ctx context.Context, to string) (*messenger.RecordsReply, error) {
	if c := e.at(to); c != nil {
		return c.Records(ctx)
	}
	return nil, &ClosedError{}
}

func (e end) Departures(ctx context.Context, to string) (*messenger.DeparturesReply, error) {
	if c := e.at(to); c != nil {
		return c.Departures(ctx)
	}
	return nil, &ClosedError{}
}

func peerOf(n int) string { return fmt.Sprintf("10.0.0.%d:7000", n+1) }

// start starts the store with a number; first says that the deployment begins.
func (w *wires) start(t *testing.T, n int, folder string, first bool, opts ...Option) *Controller {
	t.Helper()
	return w.startWith(t, n, folder, first, wallClock{}, []string{peerOf(0), peerOf(1), peerOf(2)}, opts...)
}

// startWith starts a store with a clock and seeds of its own.
func (w *wires) startWith(t *testing.T, n int, folder string, first bool, clock Clock, seeds []string, opts ...Option) *Controller {
	t.Helper()
	name := fmt.Sprintf("10.0.0.%d", n+1)
	c, err := New(Settings{
		Self:  gossiper.Instance{Name: name, DataCentre: fmt.Sprintf("dc%d", n), Peer: peerOf(n), RPC: peerOf(n), Operator: "x"},
		Seeds: seeds, InitialVoters: []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"},
		DataFolder: folder, FirstStart: first, HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: w.election,
		VoterCount: 3, LabelSteering: true,
	}, clock, end{wires: w, self: peerOf(n)}, w.keys, opts...)
	if err != nil {
		t.Fatal(err)
	}
	w.mu.Lock()
	w.members[peerOf(n)] = c
	w.mu.Unlock()
	return c
}

// startThree begins a deployment of three stores and waits until it takes orders. It
// returns the data folders.
func (w *wires) startThree(t *testing.T) []string {
	t.Helper()
	folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	for n := range folders {
		w.start(t, n, folders[n], true)
	}
	eventually(t, "a first order", func() bool { return put(w.at(peerOf(0)), 1) == nil })
	return folders
}

func (w *wires) stop(t *testing.T, n int) {
	t.Helper()
	w.mu.Lock()
	c := w.members[peerOf(n)]
	delete(w.members, peerOf(n))
	w.mu.Unlock()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// eventually waits until f holds, for ten seconds at most.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	ticks := time.NewTicker(10 * time.Millisecond)
	defer ticks.Stop()
	limit := time.After(10 * time.Second)
	for !f() {
		select {
		case <-ticks.C:
		case <-limit:
			t.Fatalf("not within ten seconds: %s", what)
		}
	}
}

func put(c *Controller, version uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := bigRuleset(version, 3)
	return c.ReplaceRuleset(ctx, r)
}

func readVersion(c *Controller) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := c.Ruleset(ctx)
	if err != nil || r == nil {
		return 0
	}
	return r.Version
}

func membershipOf(c *Controller) voter.Membership {
	var m voter.Membership
	c.runInLoop(context.Background(), func() {
		if c.voter != nil {
			m = c.voter.Membership()
		}
	})
	return m
}

// Eight orders in flight at different stores, a lost disk, a store that is gone for good
// and one at another address in its place: what was acknowledged stays, and the voters
// are three live disks again.
func TestStoresThroughLosses(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	folders := []string{t.TempDir(), t.TempDir(), t.TempDir(), t.TempDir()}
	for n := range 3 {
		w.start(t, n, folders[n], true)
	}
	eventually(t, "a first order", func() bool { return put(w.at(peerOf(0)), 1) == nil })

	var all sync.WaitGroup
	for i := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			c := w.at(peerOf(i % 3))
			for range 20 {
				if put(c, uint64(10+i)) == nil {
					return
				}
			}
			t.Errorf("order %d was not acknowledged", 10+i)
		}()
	}
	all.Wait()
	for n := range 3 {
		is.Equal(readVersion(w.at(peerOf(n))), uint64(17))
	}

	w.stop(t, 0) // loses its disk
	is.NoErr(os.RemoveAll(folders[0]))
	w.start(t, 0, folders[0], false)
	eventually(t, "a new disk votes", func() bool {
		m := membershipOf(w.at(peerOf(1)))
		return len(m.Voters) == 3 && !m.Votes("10.0.0.1#first") && len(m.Learners) == 0
	})
	eventually(t, "it reads", func() bool { return readVersion(w.at(peerOf(0))) == 17 })

	w.stop(t, 1) // gone for good
	w.start(t, 3, folders[3], false)
	eventually(t, "another takes its place", func() bool {
		m := membershipOf(w.at(peerOf(2)))
		return len(m.Voters) == 3 && !m.Votes("10.0.0.2#first")
	})
	eventually(t, "an order", func() bool { return put(w.at(peerOf(3)), 30) == nil })
	is.Equal(readVersion(w.at(peerOf(2))), uint64(30))
	for _, n := range []int{0, 2, 3} {
		w.stop(t, n)
	}
}

// A store whose disk refuses writes speaks of nothing that is not durable, and takes part
// again once the disk works.
func TestAStoreComesBackFromAFailedDisk(t *testing.T) {
	w := newWires(t)
	w.startThree(t)
	c := w.at(peerOf(0))
	c.runInLoop(context.Background(), func() { c.stopVoter(&ClosedError{}) })
	eventually(t, "the others go on", func() bool { return put(w.at(peerOf(1)), 2) == nil })
	eventually(t, "it votes again", func() bool {
		ok := false
		c.runInLoop(context.Background(), func() { ok = c.voterErr == nil && c.voter.Commit() >= 3 })
		return ok
	})
	eventually(t, "it reads", func() bool { return readVersion(c) == 2 })
	for n := range 3 {
		w.stop(t, n)
	}
}
