package requester

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Durations of a graceful shutdown.
const (
	// shutdownQuietPeriod without a new connection or request shows that callers have
	// switched to other instances.
	shutdownQuietPeriod = 300 * time.Millisecond
	// shutdownReserve is the time before the deadline of the shutdown that is left for the
	// requests in progress.
	shutdownReserve = 2 * time.Second
)

// recordActivity is the ConnState hook of the HTTP server. It stores when a connection was
// last opened or a request last began. Connections call it concurrently, so a delayed call must
// not replace a later time.
func (px *Proxy) recordActivity(_ net.Conn, s http.ConnState) {
	if s != http.StateNew && s != http.StateActive {
		return
	}
	now := int64(px.now())
	for last := px.lastActivity.Load(); last < now; last = px.lastActivity.Load() {
		if px.lastActivity.CompareAndSwap(last, now) {
			return
		}
	}
}

// Shutdown stops the Proxy gracefully. Callers take a while to switch to other instances;
// until then the Proxy serves their requests and sends "Connection: close" with each
// response. Closing the listener at once would reset connections that the kernel has
// accepted and the Proxy has not, and closing an idle connection could lose a request that
// is already on its way. When no request has come for shutdownQuietPeriod, or the deadline
// of ctx is near, the Proxy stops accepting requests and waits until those in progress have
// ended. If ctx ends first, its error is returned.
func (px *Proxy) Shutdown(ctx context.Context) error {
	px.shuttingDown.Store(true)
	shutdownStart := px.now()
	px.log.Info("request-door-leaving")
	ticks, stop := px.clock.Ticker(pollInterval)
	defer stop()
	for px.now()-max(shutdownStart, time.Duration(px.lastActivity.Load())) < shutdownQuietPeriod && !px.deadlineNear(ctx) {
		select {
		case <-ticks:
		case <-ctx.Done():
		}
	}
	px.log.Info("request-door-closing", "after", px.now()-shutdownStart)
	return px.httpServer.Shutdown(ctx)
}

// deadlineNear reports whether ctx has ended or will end within shutdownReserve.
func (px *Proxy) deadlineNear(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && deadline.Sub(px.clock.Now()) < shutdownReserve)
}
