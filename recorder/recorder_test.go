package recorder

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// manualClock is a clock that only the test advances.
type manualClock struct {
	mu    sync.Mutex
	now   time.Time
	ticks chan time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Ticker(time.Duration) (<-chan time.Time, func()) {
	return c.ticks, func() {}
}

// blockedWriter is an output whose Write blocks until release is closed.
type blockedWriter struct {
	entered chan struct{} // receives a value when Write is entered, unless the channel is full or nil
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	select {
	case w.entered <- struct{}{}:
	default:
	}
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	clock := &manualClock{ticks: make(chan time.Time)}
	out := &blockedWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	w := New(out, clock, WithLimits(100, 10_000))
	_, _ = w.Write([]byte("first\n"))
	clock.ticks <- time.Time{} // the flush of this line blocks
	<-out.entered              // the flush has taken the first line out of the buffer
	for range 50 {
		_, err := w.Write([]byte("0123456789\n"))
		is.NoErr(err)
	}
	is.Equal(w.DroppedLines(), uint64(41)) // nine fit
	close(out.release)
	is.NoErr(w.Close())
	is.True(strings.HasPrefix(out.text.String(), "first\n0123456789\n"))
	is.True(strings.Contains(out.text.String(), "msg=log-dropped lines=41\n"))
}

func TestLinesAboveTheByteRateAreDropped(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	clock := &manualClock{ticks: make(chan time.Time)}
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	w := New(out, clock, WithLimits(1<<20, 100))
	for range 30 {
		_, _ = w.Write([]byte("0123456789"))
	}
	is.Equal(w.DroppedLines(), uint64(20))
	clock.mu.Lock()
	clock.now = clock.now.Add(time.Second)
	clock.mu.Unlock()
	for range 30 {
		_, _ = w.Write([]byte("0123456789"))
	}
	is.Equal(w.DroppedLines(), uint64(40))
	is.NoErr(w.Close())
}
