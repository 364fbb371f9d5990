package recorder

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// handClock stands until a test moves it.
type handClock struct {
	mu    sync.Mutex
	now   time.Time
	ticks chan time.Time
}

func (c *handClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) Ticker(time.Duration) (<-chan time.Time, func()) {
	return c.ticks, func() {}
}

// stuck is an output that blocks until it is released.
type stuck struct {
	entered chan struct{} // gets a value when Write is called, unless it is full or nil
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stuck) Write(b []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func TestAStuckOutputDoesNotBlock(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	clock := &handClock{ticks: make(chan time.Time)}
	out := &stuck{entered: make(chan struct{}, 1), release: make(chan struct{})}
	r := New(out, clock, WithLimits(100, 10_000))
	_, _ = r.Write([]byte("first\n"))
	clock.ticks <- time.Time{} // the flush of this one hangs
	<-out.entered              // the flush has taken the first line out of the buffer
	for range 50 {
		_, err := r.Write([]byte("0123456789\n"))
		is.NoErr(err)
	}
	is.Equal(r.DroppedLines(), uint64(41)) // nine fit
	close(out.release)
	is.NoErr(r.Close())
	is.True(strings.HasPrefix(out.text.String(), "first\n0123456789\n"))
	is.True(strings.Contains(out.text.String(), "msg=log-dropped lines=41\n"))
}

func TestTheRateIsBounded(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	clock := &handClock{ticks: make(chan time.Time)}
	out := &stuck{release: make(chan struct{})}
	close(out.release)
	r := New(out, clock, WithLimits(1<<20, 100))
	for range 30 {
		_, _ = r.Write([]byte("0123456789"))
	}
	is.Equal(r.DroppedLines(), uint64(20))
	clock.mu.Lock()
	clock.now = clock.now.Add(time.Second)
	clock.mu.Unlock()
	for range 30 {
		_, _ = r.Write([]byte("0123456789"))
	}
	is.Equal(r.DroppedLines(), uint64(40))
	is.NoErr(r.Close())
}
