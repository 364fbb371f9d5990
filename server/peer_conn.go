package server

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondpick/messenger"
)

// A connection may go silent without being closed: all that is sent on it is lost, while a new
// connection to the same peer works. Therefore an unused connection is closed soon, and one on
// which a call stays unanswered is replaced for later calls.
const (
	connIdleTimeout   = time.Second
	connSuspectAfter  = time.Second // of a call without an answer
	minConnectTimeout = time.Second
	// connBufferSize is small, because calls are few and connections may be many.
	connBufferSize = 4 << 10 // bytes
)

// peerConn is a connection to a peer. The transport guards its fields other than ClientConn.
type peerConn struct {
	*grpc.ClientConn
	openedAt   time.Time
	answeredAt time.Time // when the last call on it was answered; openedAt before that
	calls      int       // in progress
	replaced   bool      // takes no new calls; closed when the last call has ended
}

// call calls a method of a peer.
func call[Reply any](t *transport, to string, method func(c messenger.PeerClient) (*Reply, error)) (*Reply, error) {
	conn, err := t.acquireConn(to)
	if err != nil {
		return nil, err
	}
	suspect, cancel := context.WithTimeout(t.ctx, connSuspectAfter)
	defer cancel()
	stop := context.AfterFunc(suspect, func() {
		if suspect.Err() == context.DeadlineExceeded {
			t.replaceConn(to, conn)
		}
	})
	defer stop()
	reply, err := method(messenger.PeerClient{Conn: conn})
	if status.Code(err) == codes.DeadlineExceeded {
		t.replaceConn(to, conn)
	}
	t.releaseConn(conn, err)
	return reply, err
}

// acquireConn returns the connection for a call to a peer, which it creates if there is none.
// releaseConn must be called after the call.
func (t *transport) acquireConn(to string) (*peerConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := t.conns[to]
	if conn == nil {
		grpcConn, err := grpc.NewClient(to, grpc.WithTransportCredentials(t.creds), grpc.WithIdleTimeout(connIdleTimeout),
			grpc.WithReadBufferSize(connBufferSize), grpc.WithWriteBufferSize(connBufferSize),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minConnectTimeout, Backoff: dialBackoff}))
		if err != nil {
			return nil, err
		}
		now := t.clock.Now()
		conn = &peerConn{ClientConn: grpcConn, openedAt: now, answeredAt: now}
		t.conns[to] = conn
		t.openConns[conn] = true
	}
	conn.calls++
	return conn, nil
}

// releaseConn ends a call that returned err.
func (t *transport) releaseConn(conn *peerConn, err error) {
	t.mu.Lock()
	conn.calls--
	if err == nil {
		conn.answeredAt = t.clock.Now()
	}
	unused := conn.replaced && conn.calls == 0
	if unused {
		delete(t.openConns, conn)
	}
	t.mu.Unlock()
	if !unused {
		return
	}
	if err := conn.Close(); err != nil {
		t.log.Debug("connection-close-failed", "to", conn.Target(), "error", err)
	}
}

// replaceConn makes later calls to a peer use a new connection instead of conn. Calls in progress
// go on: their replies may only be slow. If there are none, the suspicion has just been settled.
func (t *transport) replaceConn(to string, conn *peerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn.replaced || conn.calls == 0 {
		return
	}
	conn.replaced = true
	delete(t.conns, to)
	now := t.clock.Now()
	t.log.Warn("connection-replaced", "to", to, "age", now.Sub(conn.openedAt), "unanswered-for", now.Sub(conn.answeredAt))
}
