// Package recorder implements an asynchronous, rate-limited writer for log lines. Lines
// are kept in a bounded buffer and written to the output by a separate goroutine, so that
// a slow or blocked output never blocks the code that logs. A line that does not fit into
// the buffer or exceeds the byte rate is dropped and counted.
package recorder

import (
	"io"
	"strconv"
	"sync"
	"time"
)

// Default limits, which WithLimits overrides, and the delay of a flush.
const (
	DefaultBufferSize = 256 << 10             // bytes
	DefaultByteRate   = 512 << 10             // bytes a second
	flushDelay        = 50 * time.Millisecond // between the request of a flush and the flush
)

// Clock provides the current time and tickers. The function that Ticker returns stops the
// ticker.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// Writer is an io.Writer for log lines that never blocks. Each call of Write must pass
// whole lines. A Writer is safe for concurrent use.
type Writer struct {
	out        io.Writer
	clock      Clock
	bufferSize int
	byteRate   int

	mu              sync.Mutex
	pending         []byte
	spareBuffer     []byte
	tokens          float64 // bytes that the rate limit allows at refilledAt
	refilledAt      time.Time
	unreportedDrops uint64 // lines dropped since the last log-dropped line
	droppedLines    uint64 // see DroppedLines

	flushRequest chan struct{} // capacity 1; has a value when a flush is requested
	closing      chan struct{}
	flusher      sync.WaitGroup
}

// Option configures a Writer.
type Option func(*Writer)

// WithLimits sets the size of the buffer in bytes and the rate limit in bytes per second.
func WithLimits(buffer, rate int) Option {
	return func(w *Writer) {
		w.bufferSize = buffer
		w.byteRate = rate
	}
}

// New returns a Writer that writes to out, and starts its goroutine, which Close stops.
func New(out io.Writer, clock Clock, opts ...Option) *Writer {
	w := &Writer{out: out, clock: clock, bufferSize: DefaultBufferSize, byteRate: DefaultByteRate}
	w.flushRequest, w.closing = make(chan struct{}, 1), make(chan struct{})
	for _, o := range opts {
		o(w)
	}
	w.tokens = float64(w.byteRate)
	w.refilledAt = clock.Now()
	w.flusher.Add(1)
	go w.flushLoop()
	return w
}

// Write adds a line to the buffer. Write never blocks and never returns an error; a line
// that exceeds the buffer or the rate limit is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.tokens = min(float64(w.byteRate), w.tokens+now.Sub(w.refilledAt).Seconds()*float64(w.byteRate))
	w.refilledAt = now
	defer w.requestFlush()
	if len(w.pending)+len(line) > w.bufferSize || w.tokens < float64(len(line)) {
		w.unreportedDrops++
		w.droppedLines++
		return len(line), nil
	}
	w.tokens -= float64(len(line))
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// requestFlush signals flushLoop that there are lines, or dropped lines, to write.
func (w *Writer) requestFlush() {
	select {
	case w.flushRequest <- struct{}{}:
	default: // a flush is already requested
	}
}

// DroppedLines returns the number of lines dropped since New. A failed write to the output
// counts as one.
func (w *Writer) DroppedLines() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedLines
}

// flushLoop writes the buffer flushDelay after a flush was requested, so that many lines
// are written in one call. While there is nothing to write it runs no ticker.
func (w *Writer) flushLoop() {
	defer w.flusher.Done()
	defer w.flush()
	for {
		select {
		case <-w.closing:
			return
		case <-w.flushRequest:
		}
		ticks, stop := w.clock.Ticker(flushDelay)
		select {
		case <-w.closing:
			stop()
			return
		case <-ticks:
			stop()
			w.flush()
		}
	}
}

// flush writes the buffer to the output, followed by a log-dropped line if lines were
// dropped. An error of the output is only counted in droppedLines, because there is no
// other place to report it.
func (w *Writer) flush() {
	w.mu.Lock()
	b := w.pending
	w.pending = w.spareBuffer[:0]
	if w.unreportedDrops > 0 {
		b = append(b, "level=WARN msg=log-dropped lines="+strconv.FormatUint(w.unreportedDrops, 10)+"\n"...)
		w.unreportedDrops = 0
	}
	w.mu.Unlock()
	if len(b) > 0 {
		if _, err := w.out.Write(b); err != nil {
			w.mu.Lock()
			w.droppedLines++
			w.mu.Unlock()
		}
	}
	w.mu.Lock()
	w.spareBuffer = b
	w.mu.Unlock()
}

// Close flushes the buffer, waits until that is written and stops the goroutine. It always
// returns nil.
func (w *Writer) Close() error {
	close(w.closing)
	w.flusher.Wait()
	return nil
}
