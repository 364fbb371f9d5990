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
	outboxSize      = 256 // messages for one voter
	exchangeMost    = 64  // messages in one call
	// connBuffer is small, because calls are few and connections may be many.
	connBuffer = 4 << 10 // bytes
)

// sender sends datagrams; the flow door does.
type sender interface {
	Datagram(to string, b []byte)
}

// transport is the controller's way to other instances.
type transport struct {
	log    *slog.Logger
	creds  credentials.TransportCredentials
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	mu       sync.Mutex
	sender   sender
	conns    map[string]*grpc.ClientConn
	outboxes map[string]chan voter.Message
	closed   bool
}

func newTransport(t *tls.Config, log *slog.Logger) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	creds := insecure.NewCredentials()
	if t != nil {
		client := t.Clone()
		client.InsecureSkipVerify = false
		creds = credentials.NewTLS(client)
	}
	return &transport{
		log: log, creds: creds, ctx: ctx, cancel: cancel,
		conns: make(map[string]*grpc.ClientConn), outboxes: make(map[string]chan voter.Message),
	}
}

func (t *transport) setSender(s sender) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sender = s
}

// Datagram implements controller.Transport.
func (t *transport) Datagram(to string, b []byte) {
	t.mu.Lock()
	s := t.sender
	t.mu.Unlock()
	if s != nil {
		s.Datagram(to, b)
	}
}

func (t *transport) client(to string) (messenger.PeerClient, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := t.conns[to]
	if conn == nil {
		var err error
		conn, err = grpc.NewClient(to, grpc.WithTransportCredentials(t.creds),
			grpc.WithReadBufferSize(connBuffer), grpc.WithWriteBufferSize(connBuffer),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: dialBackoff}))
		if err != nil {
			return messenger.PeerClient{}, err
		}
		t.conns[to] = conn
	}
	return messenger.PeerClient{Conn: conn}, nil
}

// Exchange implements controller.Transport. Messages for one receiver keep their
// order; when too many wait, the newest are dropped, which voters put up with.
func (t *transport) Exchange(to string, m voter.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	box := t.outboxes[to]
	if box == nil {
		box = make(chan voter.Message, outboxSize)
		t.outboxes[to] = box
		t.loops.Add(1)
		go t.drain(to, box)
	}
	select {
	case box <- m:
	default:
	}
}

// drain delivers the messages for one receiver, as many at a time as are waiting.
func (t *transport) drain(to string, box chan voter.Message) {
	defer t.loops.Done()
	for {
		var batch messenger.VoterBatch
		select {
		case <-t.ctx.Done():
			return
		case m := <-box:
			batch.Messages = append(batch.Messages, m)
		}
		for len(box) > 0 && len(batch.Messages) < exchangeMost {
			batch.Messages = append(batch.Messages, <-box)
		}
		if err := t.exchange(to, &batch); err != nil && !errors.Is(err, context.Canceled) {
			t.log.Debug("exchange-failed", "to", to, "error", err)
		}
	}
}

func (t *transport) exchange(to string, batch *messenger.VoterBatch) error {
	client, err := t.client(to)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(t.ctx, exchangeTimeout)
	defer cancel()
	_, err = client.Exchange(ctx, batch)
	return t.judge(to, err)
}

// Fetch implements controller.Transport.
func (t *transport) Fetch(ctx context.Context, to string, after uint64) (*messenger.FetchReply, error) {
	client, err := t.client(to)
	if err != nil {
		return nil, err
	}
	reply, err := client.Fetch(ctx, &messenger.FetchRequest{AfterIndex: after})
	return reply, t.judge(to, err)
}

// Propose implements controller.Transport.
func (t *transport) Propose(ctx context.Context, to string, c planner.Command) (*planner.Result, error) {
	client, err := t.client(to)
	if err != nil {
		return nil, err
	}
	a, err := client.Propose(ctx, &c)
	return a, t.judge(to, err)
}

// Records implements controller.Transport.
func (t *transport) Records(ctx context.Context, to string) (*messenger.RecordsReply, error) {
	client, err := t.client(to)
	if err != nil {
		return nil, err
	}
	reply, err := client.Records(ctx)
	return reply, t.judge(to, err)
}

// Departures implements controller.Transport.
func (t *transport) Departures(ctx context.Context, to string) (*messenger.DeparturesReply, error) {
	client, err := t.client(to)
	if err != nil {
		return nil, err
	}
	reply, err := client.Departures(ctx)
	return reply, t.judge(to, err)
}

// judge gives up a connection on which a call ran into its timeout. The connection
// may have gone silent, which nothing else shows for a long time; the next call opens
// a new one.
func (t *transport) judge(to string, err error) error {
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
	t.log.Warn("connection-given-up", "to", to, "error", err)
	return errors.Join(err, conn.Close())
}

// Read implements controller.Transport.
func (t *transport) Read(ctx context.Context, to string) (*messenger.ReadReply, error) {
	client, err := t.client(to)
	if err != nil {
		return nil, err
	}
	reply, err := client.Read(ctx)
	return reply, t.judge(to, err)
}

// TakeTickets hands a part of a ticket table to another instance.
func (t *transport) TakeTickets(ctx context.Context, to string, h *messenger.KeyTableHandover) error {
	client, err := t.client(to)
	if err != nil {
		return err
	}
	_, err = client.TakeTickets(ctx, h)
	return err
}

// Close ends the deliveries and waits for them.
func (t *transport) Close() error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	t.loops.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	var errs []error
	for _, c := range t.conns {
		errs = append(errs, c.Close())
	}
	return errors.Join(errs...)
}
