package server

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"almondpick/keyer"
	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/requester"
)

// dialBackoff keeps a returning instance from waiting long for its peers.
var dialBackoff = backoff.Config{
	BaseDelay:  100 * time.Millisecond,
	Multiplier: 1.5,
	Jitter:     0.2,
	MaxDelay:   time.Second,
}

// peerService answers other instances. It implements messenger.PeerServer.
type peerService struct {
	control control
	door    *requester.Door
}

// Exchange takes in messages between voters.
func (p *peerService) Exchange(_ context.Context, b *messenger.VoterBatch) (*messenger.Empty, error) {
	p.control.Step(b.Messages)
	return &messenger.Empty{}, nil
}

// Fetch answers an instance that catches up.
func (p *peerService) Fetch(ctx context.Context, r *messenger.FetchRequest) (*messenger.FetchReply, error) {
	return p.control.Fetch(ctx, r.After)
}

// Propose has a command accepted on behalf of another instance.
func (p *peerService) Propose(ctx context.Context, c *planner.Command) (*planner.Answer, error) {
	a, err := p.control.Submit(ctx, *c)
	return &a, err
}

// Read tells another instance how far the log is.
func (p *peerService) Read(ctx context.Context, _ *messenger.Empty) (*messenger.ReadReply, error) {
	return p.control.ReadIndex(ctx)
}

// Records tells another instance all that is known of instances and targets.
func (p *peerService) Records(ctx context.Context, _ *messenger.Empty) (*messenger.RecordsReply, error) {
	return p.control.Records(ctx)
}

// Departures tells another instance which departures of targets the disk here holds.
func (p *peerService) Departures(ctx context.Context, _ *messenger.Empty) (*messenger.DeparturesReply, error) {
	return p.control.Departures(ctx)
}

// TakeTickets takes over a part of a ticket table.
func (p *peerService) TakeTickets(_ context.Context, h *messenger.TicketHandover) (*messenger.Empty, error) {
	if p.door == nil {
		return nil, status.Error(codes.Unimplemented, "no request door")
	}
	p.door.TakeTables(h)
	return &messenger.Empty{}, nil
}

// requireRole refuses callers whose certificate has another role.
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
		have, name := keyer.RoleOf(info.State)
		for _, w := range want {
			if have == w {
				return handle(ctx, req)
			}
		}
		refusal := &keyer.RoleError{Have: have, Want: want[0]}
		return nil, status.Error(codes.PermissionDenied, strconv.Quote(name)+": "+refusal.Error())
	}
}
