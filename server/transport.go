package server

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

const (
	exchangeTimeout         = time.Second
	snapshotExchangeTimeout = 2 * time.Second // of an Exchange call that carries a snapshot
	sendQueueSize           = 256             // messages waiting for one voter
	maxBatchSize            = 64              // messages in one Exchange call
)

// sender sends datagrams to other instances.
type sender interface {
	Datagram(to string, b []byte)
}

// transport carries the controller's messages and calls to other instances. It implements
// controller.Transport and keeps one gRPC connection for each peer that it calls.
type transport struct {
	log       *slog.Logger
	clock     Clock
	creds     credentials.TransportCredentials
	ctx       context.Context
	cancel    context.CancelFunc
	sendLoops sync.WaitGroup

	mu         sync.Mutex
	sender     sender
	conns      map[string]*peerConn // for new calls, by the address of the peer
	openConns  map[*peerConn]bool   // those of conns, and replaced ones with calls in progress
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
		conns: make(map[string]*peerConn), openConns: make(map[*peerConn]bool), sendQueues: make(map[string]chan voter.Message),
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
	timeout := exchangeTimeout
	if slices.ContainsFunc(batch.Messages, func(m voter.Message) bool { return m.Kind == voter.MessageSnapshot }) {
		timeout = snapshotExchangeTimeout
	}
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	_, err := call(t, to, func(c messenger.PeerClient) (*messenger.Empty, error) { return c.Exchange(ctx, batch) })
	return err
}

// Fetch implements controller.Transport. An instance of an earlier version cannot decode a request
// with fields that it does not know, and is asked again without them.
func (t *transport) Fetch(ctx context.Context, to string, r messenger.FetchRequest) (*messenger.FetchReply, error) {
	reply, err := t.fetch(ctx, to, r)
	if status.Code(err) == codes.Internal && r != r.Plain() {
		return t.fetch(ctx, to, r.Plain())
	}
	return reply, err
}

func (t *transport) fetch(ctx context.Context, to string, r messenger.FetchRequest) (*messenger.FetchReply, error) {
	return call(t, to, func(c messenger.PeerClient) (*messenger.FetchReply, error) { return c.Fetch(ctx, &r) })
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
	for conn := range t.openConns {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}
