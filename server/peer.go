package server

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"almondpick/keyer"
	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/requester"
)

// dialBackoff is short, so that an instance that comes back does not wait long for the
// connections to its peers.
var dialBackoff = backoff.Config{
	BaseDelay:  100 * time.Millisecond,
	Multiplier: 1.5,
	Jitter:     0.2,
	MaxDelay:   time.Second,
}

// acceptedConnIdleTimeout is longer than connIdleTimeout, after which the other end closes a
// connection. It ends the connections on which that close does not arrive.
const acceptedConnIdleTimeout = 5 * time.Second

// closeIdleConns makes a gRPC server close connections without calls.
func closeIdleConns() grpc.ServerOption {
	return grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: acceptedConnIdleTimeout})
}

// peerService serves the gRPC calls of other instances. It implements messenger.PeerServer.
type peerService struct {
	controller controllerPtr
	proxy      *requester.Proxy
}

// Exchange receives consensus messages from another voter.
func (p *peerService) Exchange(_ context.Context, b *messenger.VoterBatch) (*messenger.Empty, error) {
	p.controller.Step(b.Messages)
	return &messenger.Empty{}, nil
}

// Fetch returns the configuration commands after r.AfterIndex of the replicated log, or a
// snapshot, to an instance that catches up.
func (p *peerService) Fetch(ctx context.Context, r *messenger.FetchRequest) (*messenger.FetchReply, error) {
	return p.controller.Fetch(ctx, *r)
}

// Propose submits a command to the replicated log on behalf of another instance.
func (p *peerService) Propose(ctx context.Context, c *planner.Command) (*planner.Result, error) {
	result, err := p.controller.SubmitForwarded(ctx, *c)
	return &result, err
}

// Read returns a read index of the replicated log.
func (p *peerService) Read(ctx context.Context, _ *messenger.Empty) (*messenger.ReadReply, error) {
	return p.controller.ReadIndexForwarded(ctx)
}

// Records returns all gossip records that this instance has of instances and targets.
func (p *peerService) Records(ctx context.Context, _ *messenger.Empty) (*messenger.RecordsReply, error) {
	return p.controller.Records(ctx)
}

// Departures returns the departures of targets that are stored on the disk of this
// instance.
func (p *peerService) Departures(ctx context.Context, _ *messenger.Empty) (*messenger.DeparturesReply, error) {
	return p.controller.Departures(ctx)
}

// TakeTickets receives a part of the idempotency-key tables of an instance that shuts down.
func (p *peerService) TakeTickets(_ context.Context, h *messenger.KeyTableHandover) (*messenger.Empty, error) {
	if p.proxy == nil {
		return nil, status.Error(codes.Unimplemented, "no request door")
	}
	p.proxy.ImportHandover(h)
	return &messenger.Empty{}, nil
}

// requireRole returns an interceptor that rejects callers whose certificate has none of the
// roles in want.
func requireRole(want ...keyer.Role) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		from, ok := peer.FromContext(ctx)
		if !ok {
			return nil, status.Error(codes.Unauthenticated, "no peer")
		}
		info, ok := from.AuthInfo.(credentials.TLSInfo)
		if !ok {
			return nil, status.Error(codes.Unauthenticated, "no certificate")
		}
		have, name := keyer.PeerRole(info.State)
		for _, w := range want {
			if have == w {
				return handle(ctx, req)
			}
		}
		refusal := &keyer.RoleError{Have: have, Want: want[0]}
		return nil, status.Error(codes.PermissionDenied, strconv.Quote(name)+": "+refusal.Error())
	}
}
