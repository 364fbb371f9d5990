package messenger

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"almondpick/planner"
)

// Names of the gRPC services.
const (
	PeerService     = "almondpick.peer"
	OperatorService = "almondpick.operator"
)

// PeerServer handles calls from other instances. PeerClient documents the methods.
type PeerServer interface {
	Exchange(ctx context.Context, b *VoterBatch) (*Empty, error)
	Fetch(ctx context.Context, r *FetchRequest) (*FetchReply, error)
	Propose(ctx context.Context, c *planner.Command) (*planner.Result, error)
	TakeTickets(ctx context.Context, h *KeyTableHandover) (*Empty, error)
	Read(ctx context.Context, r *Empty) (*ReadReply, error)
	Records(ctx context.Context, r *Empty) (*RecordsReply, error)
	Departures(ctx context.Context, r *Empty) (*DeparturesReply, error)
}

// OperatorServer handles calls from operators. OperatorClient documents the methods.
type OperatorServer interface {
	State(ctx context.Context, i *planner.Intent) (*planner.Result, error)
	Confirm(ctx context.Context, r *PlanRequest) (*planner.Result, error)
	Plan(ctx context.Context, r *PlanRequest) (*planner.Result, error)
	Status(ctx context.Context, r *Empty) (*DeploymentStatus, error)
	Targets(ctx context.Context, r *Empty) (*TargetList, error)
	Services(ctx context.Context, r *Empty) (*ServiceList, error)
	History(ctx context.Context, r *Empty) (*PlanList, error)
	Evacuate(ctx context.Context, r *EvacuationRequest) (*planner.Result, error)
}

// unaryMethod returns the gRPC description of one unary method of a service of type S.
func unaryMethod[S, In, Out any](service, name string, call func(S, context.Context, *In) (*Out, error)) grpc.MethodDesc {
	handler := func(srv any, ctx context.Context, dec func(any) error, interceptor grpc.UnaryServerInterceptor) (any, error) {
		in := new(In)
		if err := dec(in); err != nil {
			return nil, err
		}
		handle := func(ctx context.Context, req any) (any, error) {
			return call(srv.(S), ctx, req.(*In))
		}
		if interceptor == nil {
			return handle(ctx, in)
		}
		info := &grpc.UnaryServerInfo{Server: srv, FullMethod: "/" + service + "/" + name}
		return interceptor(ctx, in, info, handle)
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}

// RegisterPeer registers s as the handler of calls from other instances.
func RegisterPeer(r grpc.ServiceRegistrar, s PeerServer) {
	r.RegisterService(&grpc.ServiceDesc{
		ServiceName: PeerService,
		HandlerType: (*PeerServer)(nil),
		Methods: []grpc.MethodDesc{
			unaryMethod(PeerService, "Exchange", PeerServer.Exchange),
			unaryMethod(PeerService, "Fetch", PeerServer.Fetch),
			unaryMethod(PeerService, "Propose", PeerServer.Propose),
			unaryMethod(PeerService, "TakeTickets", PeerServer.TakeTickets),
			unaryMethod(PeerService, "Read", PeerServer.Read),
			unaryMethod(PeerService, "Records", PeerServer.Records),
			unaryMethod(PeerService, "Departures", PeerServer.Departures),
		},
	}, s)
}

// RegisterOperator registers s as the handler of calls from operators.
func RegisterOperator(r grpc.ServiceRegistrar, s OperatorServer) {
	r.RegisterService(&grpc.ServiceDesc{
		ServiceName: OperatorService,
		HandlerType: (*OperatorServer)(nil),
		Methods: []grpc.MethodDesc{
			unaryMethod(OperatorService, "State", OperatorServer.State),
			unaryMethod(OperatorService, "Confirm", OperatorServer.Confirm),
			unaryMethod(OperatorService, "Plan", OperatorServer.Plan),
			unaryMethod(OperatorService, "Status", OperatorServer.Status),
			unaryMethod(OperatorService, "Targets", OperatorServer.Targets),
			unaryMethod(OperatorService, "Services", OperatorServer.Services),
			unaryMethod(OperatorService, "History", OperatorServer.History),
			unaryMethod(OperatorService, "Evacuate", OperatorServer.Evacuate),
		},
	}, s)
}

// invoke calls one unary method of a service.
func invoke[In, Out any](ctx context.Context, c grpc.ClientConnInterface, service, name string, in *In, opts ...grpc.CallOption) (*Out, error) {
	out := new(Out)
	opts = append(opts, grpc.CallContentSubtype(CodecName))
	err := c.Invoke(ctx, "/"+service+"/"+name, in, out, opts...)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// PeerClient calls another instance.
type PeerClient struct {
	Conn grpc.ClientConnInterface
}

// Exchange sends consensus messages from one voter to another.
func (c PeerClient) Exchange(ctx context.Context, b *VoterBatch) (*Empty, error) {
	return invoke[VoterBatch, Empty](ctx, c.Conn, PeerService, "Exchange", b)
}

// Fetch reads the commands after an index of the consensus log, or a snapshot.
func (c PeerClient) Fetch(ctx context.Context, r *FetchRequest) (*FetchReply, error) {
	return invoke[FetchRequest, FetchReply](ctx, c.Conn, PeerService, "Fetch", r)
}

// Propose forwards a command to the leader of the voters.
func (c PeerClient) Propose(ctx context.Context, cmd *planner.Command) (*planner.Result, error) {
	return invoke[planner.Command, planner.Result](ctx, c.Conn, PeerService, "Propose", cmd)
}

// TakeTickets hands over a part of a table of idempotency keys to the receiver.
func (c PeerClient) TakeTickets(ctx context.Context, h *KeyTableHandover) (*Empty, error) {
	return invoke[KeyTableHandover, Empty](ctx, c.Conn, PeerService, "TakeTickets", h)
}

// Read returns the read index of the consensus log, confirmed by a majority of the voters.
func (c PeerClient) Read(ctx context.Context) (*ReadReply, error) {
	return invoke[Empty, ReadReply](ctx, c.Conn, PeerService, "Read", &Empty{})
}

// Records reads all gossip records of an instance.
func (c PeerClient) Records(ctx context.Context) (*RecordsReply, error) {
	return invoke[Empty, RecordsReply](ctx, c.Conn, PeerService, "Records", &Empty{})
}

// Departures reads the departures of targets in the consensus log on the disk of a voter.
func (c PeerClient) Departures(ctx context.Context) (*DeparturesReply, error) {
	return invoke[Empty, DeparturesReply](ctx, c.Conn, PeerService, "Departures", &Empty{}, grpc.UseCompressor(gzip.Name))
}

// OperatorClient calls an instance on behalf of an operator.
type OperatorClient struct {
	Conn grpc.ClientConnInterface
}

// State submits an intent and returns its plan or a refusal.
func (c OperatorClient) State(ctx context.Context, i *planner.Intent) (*planner.Result, error) {
	return invoke[planner.Intent, planner.Result](ctx, c.Conn, OperatorService, "State", i)
}

// Confirm confirms a plan.
func (c OperatorClient) Confirm(ctx context.Context, r *PlanRequest) (*planner.Result, error) {
	return invoke[PlanRequest, planner.Result](ctx, c.Conn, OperatorService, "Confirm", r)
}

// Plan returns a plan.
func (c OperatorClient) Plan(ctx context.Context, r *PlanRequest) (*planner.Result, error) {
	return invoke[PlanRequest, planner.Result](ctx, c.Conn, OperatorService, "Plan", r)
}

// Status returns the state of the deployment.
func (c OperatorClient) Status(ctx context.Context) (*DeploymentStatus, error) {
	return invoke[Empty, DeploymentStatus](ctx, c.Conn, OperatorService, "Status", &Empty{})
}

// Targets returns the state of every target.
func (c OperatorClient) Targets(ctx context.Context) (*TargetList, error) {
	return invoke[Empty, TargetList](ctx, c.Conn, OperatorService, "Targets", &Empty{})
}

// Services returns the services of the configuration.
func (c OperatorClient) Services(ctx context.Context) (*ServiceList, error) {
	return invoke[Empty, ServiceList](ctx, c.Conn, OperatorService, "Services", &Empty{})
}

// History returns the confirmed plans.
func (c OperatorClient) History(ctx context.Context) (*PlanList, error) {
	return invoke[Empty, PlanList](ctx, c.Conn, OperatorService, "History", &Empty{})
}

// Evacuate evacuates a data centre or withdraws that, and returns an empty result or a refusal.
func (c OperatorClient) Evacuate(ctx context.Context, r *EvacuationRequest) (*planner.Result, error) {
	return invoke[EvacuationRequest, planner.Result](ctx, c.Conn, OperatorService, "Evacuate", r)
}
