package server

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

const (
	exchangeTimeout = 2 * time.Second
	sendQueueSize   = 256 // messages waiting for one voter
	maxBatchSize    = 64  // messages in one Exchange call
	// connBufferSize is small, because calls are few and connections may be many.
	connBufferSize = 4 << 10 // bytes
)

// sender sends datagrams to other instances.
type sender interface {
	Datagram(to string, b []byte)
}

// peerConn is the connection to one peer.
type peerConn struct {
	*grpc.ClientConn
	openedAt   time.Time
	answeredAt time.Time // when the last call on it was answered; openedAt before that
}

// transport carries the controller's messages and calls to other instances. It implements
// controller.Transport and keeps one gRPC connection for each peer.
type transport struct {
	log       *slog.Logger
	clock     Clock
	creds     credentials.TransportCredentials
	ctx       context.Context
	cancel    context.CancelFunc
	sendLoops sync.WaitGroup

	mu         sync.Mutex
	sender     sender
	conns      map[string]*peerConn
	sendQueues map[string]chan voter.Message
	closed     bool
}

func newTransport(tlsConfig *tls.Config, clock Clock, log *slog.Logger) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	creds := insecure.NewCredentials()
	if tlsConfig != nil {
		clientConfig := tlsConfig.Clone()
		clientConfig.InsecureSkipVerify = false
		creds = credentials.NewTLS(clientConfig)
	}
	return &transport{
		log: log, clock: clock, creds: creds, ctx: ctx, cancel: cancel,
		conns: make(map[string]*peerConn), sendQueues: make(map[string]chan voter.Message),
	}
}

func (t *transport) setSender(s sender) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sender = s
}

// Datagram implements controller.Transport. Datagrams are dropped until setSender has
// been called.
func (t *transport) Datagram(to string, b []byte) {
	t.mu.Lock()
	s := t.sender
	t.mu.Unlock()
	if s != nil {
		s.Datagram(to, b)
	}
}

// peerConn returns the connection to a peer, which it opens if there is none.
func (t *transport) peerConn(to string) (*peerConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn := t.conns[to]; conn != nil {
		return conn, nil
	}
	grpcConn, err := grpc.NewClient(to, grpc.WithTransportCredentials(t.creds),
		grpc.WithReadBufferSize(connBufferSize), grpc.WithWriteBufferSize(connBufferSize),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: dialBackoff}))
	if err != nil {
		return nil, err
	}
	now := t.clock.Now()
	conn := &peerConn{ClientConn: grpcConn, openedAt: now, answeredAt: now}
	t.conns[to] = conn
	return conn, nil
}

// call calls a method of a peer. It closes the connection if the call times out.
func call[Reply any](t *transport, to string, method func(c messenger.PeerClient) (*Reply, error)) (*Reply, error) {
	conn, err := t.peerConn(to)
	if err != nil {
		return nil, err
	}
	reply, err := method(messenger.PeerClient{Conn: conn})
	if err == nil {
		t.mu.Lock()
		conn.answeredAt = t.clock.Now()
		t.mu.Unlock()
	}
	return reply, t.closeOnTimeout(to, err)
}

// Exchange implements controller.Transport. Messages to one receiver keep their order. When
// sendQueueSize messages wait, new ones are dropped, which voters tolerate.
func (t *transport) Exchange(to string, m voter.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	queue := t.sendQueues[to]
	if queue == nil {
		queue = make(chan voter.Message, sendQueueSize)
		t.sendQueues[to] = queue
		t.sendLoops.Add(1)
		go t.sendLoop(to, queue)
	}
	select {
	case queue <- m:
	default:
	}
}

// sendLoop sends the queued messages for one receiver in batches of up to maxBatchSize. The
// messages of a failed batch are lost.
func (t *transport) sendLoop(to string, queue chan voter.Message) {
	defer t.sendLoops.Done()
	for {
		var batch messenger.VoterBatch
		select {
		case <-t.ctx.Done():
			return
		case m := <-queue:
			batch.Messages = append(batch.Messages, m)
		}
		for len(queue) > 0 && len(batch.Messages) < maxBatchSize {
			batch.Messages = append(batch.Messages, <-queue)
		}
		if err := t.sendBatch(to, &batch); err != nil && !errors.Is(err, context.Canceled) {
			t.log.Debug("exchange-failed", "to", to, "error", err)
		}
	}
}

func (t *transport) sendBatch(to string, batch *messenger.VoterBatch) error {
	ctx, cancel := context.WithTimeout(t.ctx, exchangeTimeout)
	defer cancel()
	_, err := call(t, to, func(c messenger.PeerClient) (*messenger.Empty, error) { return c.Exchange(ctx, batch) })
	return err
}

// Fetch implements controller.Transport.
func (t *transport) Fetch(ctx context.Context, to string, after uint64) (*messenger.FetchReply, error) {
	return call(t, to, func(c messenger.PeerClient) (*messenger.FetchReply, error) {
		return c.Fetch(ctx, &messenger.FetchRequest{AfterIndex: after})
	})
}

// Propose implements controller.Transport.
func (t *transport) Propose(ctx context.Context, to string, cmd planner.Command) (*planner.Result, error) {
	return call(t, to, func(c messenger.PeerClient) (*planner.Result, error) { return c.Propose(ctx, &cmd) })
}

// Read implements controller.Transport.
func (t *transport) Read(ctx context.Context, to string) (*messenger.ReadReply, error) {
	return call(t, to, func(c messenger.PeerClient) (*messenger.ReadReply, error) { return c.Read(ctx) })
}

// Records implements controller.Transport.
func (t *transport) Records(ctx context.Context, to string) (*messenger.RecordsReply, error) {
	return call(t, to, func(c messenger.PeerClient) (*messenger.RecordsReply, error) { return c.Records(ctx) })
}

// Departures implements controller.Transport.
func (t *transport) Departures(ctx context.Context, to string) (*messenger.DeparturesReply, error) {
	return call(t, to, func(c messenger.PeerClient) (*messenger.DeparturesReply, error) { return c.Departures(ctx) })
}

// TakeTickets sends a part of the idempotency-key tables to another instance.
func (t *transport) TakeTickets(ctx context.Context, to string, h *messenger.KeyTableHandover) error {
	_, err := call(t, to, func(c messenger.PeerClient) (*messenger.Empty, error) { return c.TakeTickets(ctx, h) })
	return err
}

// closeOnTimeout closes the connection to a peer if err says that a call timed out. Such a
// connection may be dead, which is otherwise not detected for a long time. The next call
// opens a new connection. closeOnTimeout returns err, joined with an error of the close.
func (t *transport) closeOnTimeout(to string, err error) error {
	if status.Code(err) != codes.DeadlineExceeded {
		return err
	}
	t.mu.Lock()
	conn := t.conns[to]
	delete(t.conns, to)
	t.mu.Unlock()
	if conn == nil {
		return err
	}
	t.mu.Lock()
	age, unanswered := t.clock.Now().Sub(conn.openedAt), t.clock.Now().Sub(conn.answeredAt)
	t.mu.Unlock()
	t.log.Warn("connection-closed-after-timeout", "to", to, "age", age, "unanswered-for", unanswered, "error", err)
	return errors.Join(err, conn.Close())
}

// Close stops the send loops, waits for them and closes the connections.
func (t *transport) Close() error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.sendLoops.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	var errs []error
	for _, c := range t.conns {
		errs = append(errs, c.Close())
	}
	return errors.Join(errs...)
}
