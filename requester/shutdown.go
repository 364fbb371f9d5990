package requester

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Times of a planned stop.
const (
	// stopQuiet without a new connection or request shows that callers have turned away.
	stopQuiet = 300 * time.Millisecond
	// stopReserve is kept, before the time for the stop is over, for what is in progress.
	stopReserve = 2 * time.Second
)

// noteConn notes when callers last asked for something.
func (d *Proxy) noteConn(_ net.Conn, s http.ConnState) {
	if s == http.StateNew || s == http.StateActive {
		d.lastWork.Store(int64(d.now()))
	}
}

// Shutdown stops the door as planned. Callers take a while to turn to other instances;
// until then the door answers what they ask and has them close each connection after its
// answer. A listener that closes at once would cut those that the system has accepted and
// the door has not, and an idle connection that is closed may have a request on its way.
// Once nothing more comes, or ctx is about to end, it stops taking requests and waits
// until those in progress have ended. It returns the error of ctx when that ends first.
func (d *Proxy) Shutdown(ctx context.Context) error {
	d.leaving.Store(true)
	begun := d.now()
	d.log.Info("request-door-leaving")
	ticks, stop := d.clock.Ticker(expireEvery)
	defer stop()
	for d.now()-max(begun, time.Duration(d.lastWork.Load())) < stopQuiet && !d.endsSoon(ctx) {
		select {
		case <-ticks:
		case <-ctx.Done():
		}
	}
	d.log.Info("request-door-closing", "after", d.now()-begun)
	return d.server.Shutdown(ctx)
}

// endsSoon tells whether the time for the stop is nearly over.
func (d *Proxy) endsSoon(ctx context.Context) bool {
	end, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && end.Sub(d.clock.Now()) < stopReserve)
}
