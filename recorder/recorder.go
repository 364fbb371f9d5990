// Package recorder writes log lines without ever making the writer wait: lines are
// kept in a bounded buffer and written by a goroutine of its own. What does not fit, or
// is beyond the rate, is dropped and counted.
package recorder

import (
	"io"
	"strconv"
	"sync"
	"time"
)

// Limits; see the options.
const (
	DefaultBufferSize = 256 << 10 // bytes
	DefaultByteRate   = 512 << 10 // bytes a second
	flushEvery        = 50 * time.Millisecond
)

// Clock gives the time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// Recorder is an io.Writer for whole log lines.
type Writer struct {
	out    io.Writer
	clock  Clock
	buffer int
	rate   int

	mu      sync.Mutex
	pending []byte
	spare   []byte
	tokens  float64 // bytes that may be taken in
	refill  time.Time
	dropped uint64 // lines since the last report
	total   uint64

	filled chan struct{} // there is something to write
	done   chan struct{}
	closed sync.WaitGroup
}

// Option sets a property of a Recorder.
type Option func(*Writer)

// WithLimits sets the size of the buffer and the rate, in bytes and bytes a second.
func WithLimits(buffer, rate int) Option {
	return func(r *Writer) {
		r.buffer = buffer
		r.rate = rate
	}
}

// New returns a Recorder that writes to out until it is closed.
func New(out io.Writer, clock Clock, opts ...Option) *Writer {
	r := &Writer{out: out, clock: clock, buffer: DefaultBufferSize, rate: DefaultByteRate}
	r.filled, r.done = make(chan struct{}, 1), make(chan struct{})
	for _, o := range opts {
		o(r)
	}
	r.tokens = float64(r.rate)
	r.refill = clock.Now()
	r.closed.Add(1)
	go r.run()
	return r
}

// Write takes in a line. It never waits and never fails; a line that does not fit is
// counted.
func (r *Writer) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.tokens = min(float64(r.rate), r.tokens+now.Sub(r.refill).Seconds()*float64(r.rate))
	r.refill = now
	defer r.wake()
	if len(r.pending)+len(line) > r.buffer || r.tokens < float64(len(line)) {
		r.dropped++
		r.total++
		return len(line), nil
	}
	r.tokens -= float64(len(line))
	r.pending = append(r.pending, line...)
	return len(line), nil
}

// wake has what is pending written soon.
func (r *Writer) wake() {
	select {
	case r.filled <- struct{}{}:
	default: // it will be anyway
	}
}

// Dropped returns how many lines were left out.
func (r *Writer) DroppedLines() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// run writes lines some time after the first of them came, so that many are written at
// once. It sleeps while there are none.
func (r *Writer) run() {
	defer r.closed.Done()
	defer r.flush()
	for {
		select {
		case <-r.done:
			return
		case <-r.filled:
		}
		ticks, stop := r.clock.Ticker(flushEvery)
		select {
		case <-r.done:
			stop()
			return
		case <-ticks:
			stop()
			r.flush()
		}
	}
}

// flush writes what is pending. An output that fails has nowhere to be reported to but
// the count of dropped lines.
func (r *Writer) flush() {
	r.mu.Lock()
	b := r.pending
	r.pending = r.spare[:0]
	if r.dropped > 0 {
		b = append(b, "level=WARN msg=log-dropped lines="+strconv.FormatUint(r.dropped, 10)+"\n"...)
		r.dropped = 0
	}
	r.mu.Unlock()
	if len(b) > 0 {
		if _, err := r.out.Write(b); err != nil {
			r.mu.Lock()
			r.total++
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	r.spare = b
	r.mu.Unlock()
}

// Close writes what is pending and waits for it.
func (r *Writer) Close() error {
	close(r.done)
	r.closed.Wait()
	return nil
}
