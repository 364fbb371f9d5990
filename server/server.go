// Package server puts an instance together: its four doors over one control state.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"almondpick/configurer"
	"almondpick/controller"
	"almondpick/forwarder"
	"almondpick/gossiper"
	"almondpick/issuer"
	"almondpick/keyer"
	"almondpick/messenger"
	"almondpick/meter"
	"almondpick/operator"
	"almondpick/picker"
	"almondpick/requester"
)

// Clock gives the time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// control is the control state as the doors use it.
type control = *controller.Controller

// spread is how long news takes to reach every instance, with a margin. A planned
// stop waits that long where others have to learn something first.
const spread = time.Second

// Server is a running instance.
type Server struct {
	set       configurer.Settings
	clock     Clock
	log       *slog.Logger
	transport *transport
	control   control
	flow      *forwarder.Forwarder
	door      *requester.Door
	meter     *meter.Meter
	peerGRPC  *grpc.Server
	operGRPC  *grpc.Server
	status    *http.Server
	serving   sync.WaitGroup
	world     atomic.Pointer[controller.ClusterState]
}

// doors are the opened sockets of an instance.
type doors struct {
	flow, peer                  *net.UDPConn
	peerTCP, request, oper, web net.Listener
}

func (d *doors) close() {
	for _, c := range []interface{ Close() error }{d.flow, d.peer, d.peerTCP, d.request, d.oper, d.web} {
		if c != nil {
			// Nothing was sent yet; there is nothing to lose.
			_ = c.Close()
		}
	}
}

// Start starts an instance. The settings must have passed Validate. The error is
// that of the first part that could not start.
func Start(set configurer.Settings, clock Clock, log *slog.Logger) (*Server, error) {
	group, err := keyer.GroupKey(set.GroupKey)
	if err != nil {
		return nil, err
	}
	keys, err := messenger.NewKeys(group)
	if err != nil {
		return nil, err
	}
	var secure *tls.Config
	if !set.InsecurePlaintext {
		secure, err = keyer.Load(keyer.Files{Authority: set.Authority, Cert: set.Certificate, Key: set.Key}, clock)
		if err != nil {
			return nil, err
		}
	}
	d, err := open(set)
	if err != nil {
		return nil, err
	}
	s := &Server{set: set, clock: clock, log: log, meter: meter.New(), transport: newTransport(secure, log)}
	if err := s.start(d, keys, issuer.NewSigner(group), secure); err != nil {
		d.close()
		return nil, err
	}
	s.log.Info("started", "instance", set.Name, "flow", d.flow.LocalAddr(), "peer", d.peer.LocalAddr(),
		"request", d.request.Addr(), "operator", d.oper.Addr(), "status", d.web.Addr())
	return s, nil
}

func open(set configurer.Settings) (*doors, error) {
	d := &doors{}
	var err error
	flow, peer := netip.MustParseAddrPort(set.FlowAddress), netip.MustParseAddrPort(set.PeerAddress)
	if d.flow, d.peer, err = forwarder.Listen(flow, peer); err != nil {
		return nil, err
	}
	for _, one := range []struct {
		to *net.Listener
		at string
	}{{&d.peerTCP, set.PeerAddress}, {&d.request, set.RequestAddress}, {&d.oper, set.OperatorAddress}, {&d.web, set.StatusAddress}} {
		if *one.to, err = net.Listen("tcp", one.at); err != nil {
			return nil, errors.Join(eris.Wrap(err, "open door"), d.flow.Close(), d.peer.Close())
		}
	}
	return d, nil
}

func (s *Server) start(d *doors, keys messenger.Keys, signer issuer.Signer, secure *tls.Config) error {
	var err error
	incarnation := uint64(s.clock.Now().UnixMilli())
	s.door, err = requester.New(s.set.Name, incarnation, d.request, s.clock, signer,
		requester.WithLogger(s.log), requester.WithObserver(s.meter),
		requester.WithWorkers(s.set.Workers), requester.WithMaxBody(s.set.MaxBody))
	if err != nil {
		return err
	}
	gate := &gate{}
	s.flow, err = forwarder.New(s.set.Name, d.flow, d.peer, s.clock, keys, gate,
		forwarder.WithLogger(s.log), forwarder.WithMTU(s.set.MTU), forwarder.WithBudget(s.set.ReplicationBudget),
		forwarder.WithPicker(picker.New(picker.WithSeed(keys.Flow),
			picker.WithLimits(s.set.FlowLimit, s.set.HintLimit, s.set.ReplicaLimit),
			picker.WithReplication(picker.ReplicateWindow, s.set.Window),
			picker.WithEnded(func(one *picker.Service, lasted time.Duration) { s.meter.Flow(one.Tenant, one.Class, lasted) }))))
	if err != nil {
		return errors.Join(err, s.door.Close())
	}
	s.transport.setSender(s.flow)
	s.control, err = controller.New(s.controlSettings(incarnation), s.clock, s.transport, keys,
		controller.WithLogger(s.log), controller.WithStateHandler(s.setWorld))
	if err != nil {
		return errors.Join(err, s.door.Close(), s.flow.Close())
	}
	gate.open(s.control)
	s.meter.Watch(s.flow, s.door, s.meterState)
	s.serve(d, secure)
	return nil
}

func (s *Server) controlSettings(incarnation uint64) controller.Settings {
	return controller.Settings{
		Self: gossiper.Instance{
			Name: s.set.Name, DataCentre: s.set.DataCentre, Group: s.set.FabricGroup, Peer: s.set.PeerAddress,
			RPC: s.set.PeerAddress, Request: s.set.RequestAddress, Operator: s.set.OperatorAddress, Process: incarnation,
		},
		Seeds:             configurer.List(s.set.Seeds),
		DataFolder:        s.set.DataFolder,
		InitialVoters:     configurer.List(s.set.Voters),
		FirstStart:        s.set.FirstStart,
		BaseLag:           s.set.BaseLag,
		HeartbeatInterval: s.set.Heartbeat,
		ElectionTimeout:   s.set.Election,
	}
}

// serve starts answering at the peer door's TCP side and at the operator door.
func (s *Server) serve(d *doors, secure *tls.Config) {
	service := operator.New(s.control, s.log)
	s.peerGRPC = newGRPC(secure, keyer.RoleInstance)
	messenger.RegisterPeer(s.peerGRPC, &peerService{control: s.control, door: s.door})
	s.operGRPC = newGRPC(secure, keyer.RoleOperator, keyer.RoleInstance)
	messenger.RegisterOperator(s.operGRPC, service)
	s.status = &http.Server{Handler: service.Handler(s, s.meter.Gatherer(), s.set.Pprof), ReadHeaderTimeout: 5 * time.Second}
	for _, run := range []func() error{
		func() error { return s.peerGRPC.Serve(d.peerTCP) },
		func() error { return s.operGRPC.Serve(d.oper) },
		func() error { return s.status.Serve(d.web) },
	} {
		s.serving.Add(1)
		go func() {
			defer s.serving.Done()
			if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
				s.log.Error("door-failed", "error", err)
			}
		}()
	}
}

func newGRPC(secure *tls.Config, roles ...keyer.Role) *grpc.Server {
	if secure == nil {
		return grpc.NewServer()
	}
	return grpc.NewServer(grpc.Creds(credentials.NewTLS(secure)), grpc.UnaryInterceptor(requireRole(roles...)))
}

// gate lets gossip through once the controller is there.
type gate struct {
	control atomic.Pointer[controller.Controller]
}

func (g *gate) open(c *controller.Controller) {
	g.control.Store(c)
}

// Gossip implements forwarder.Control.
func (g *gate) Gossip(from string, body []byte) (bool, error) {
	c := g.control.Load()
	if c == nil {
		return false, nil
	}
	return c.Gossip(from, body)
}

// setWorld puts a new state of control into use at the doors.
func (s *Server) setWorld(w controller.ClusterState) {
	s.world.Store(&w)
	s.flow.SetView(flowMembers(w), w.Self.Serving, flowServices(w))
	s.door.SetView(requestView(w))
}

// Ready tells whether the instance takes traffic.
func (s *Server) Ready() bool {
	w := s.world.Load()
	return w != nil && w.Ready && !w.Leaving
}

func (s *Server) meterState() meter.State {
	w := s.world.Load()
	if w == nil {
		return meter.State{}
	}
	state := meter.State{
		Version: w.Config.Version, Ready: s.Ready(), CutOff: w.Self.CutOffSince > 0, Members: 1, Targets: len(w.Targets),
	}
	for _, m := range w.Members {
		if m.Alive() {
			state.Members++
		}
	}
	fitting := 0
	for _, t := range w.Targets {
		if fit(*w, t) {
			fitting++
		}
	}
	if len(w.Targets) > 0 {
		state.FitShare = float64(fitting) / float64(len(w.Targets))
	}
	return state
}

// Control returns the control state.
func (s *Server) Control() *controller.Controller {
	return s.control
}

// Flow returns the flow door.
func (s *Server) Flow() *forwarder.Forwarder {
	return s.flow
}

// Stop stops the instance as planned: it gives its flows and tickets to others,
// ends what is in progress, and then closes. Where ctx ends first the rest is cut
// short and the error says what.
func (s *Server) Stop(ctx context.Context) error {
	s.log.Info("stopping", "instance", s.set.Name)
	var errs []error
	errs = append(errs, s.control.Leave(ctx))
	s.pause(ctx, spread)
	errs = append(errs, s.flow.Handover(ctx))
	errs = append(errs, s.handOverTickets(ctx))
	s.pause(ctx, spread)
	errs = append(errs, s.door.Shutdown(ctx))
	s.control.TransferLeadership(ctx)
	errs = append(errs, s.Close())
	s.log.Info("stopped", "instance", s.set.Name)
	return errors.Join(errs...)
}

func (s *Server) pause(ctx context.Context, d time.Duration) {
	ticks, stop := s.clock.Ticker(d)
	defer stop()
	select {
	case <-ticks:
	case <-ctx.Done():
	}
}

// handOverTickets gives the ticket tables to another serving instance.
func (s *Server) handOverTickets(ctx context.Context) error {
	w := s.world.Load()
	if w == nil {
		return nil
	}
	for _, m := range w.Members {
		if m.Alive() && m.Serving {
			return s.handOverTo(ctx, m)
		}
	}
	return nil
}

func (s *Server) handOverTo(ctx context.Context, m gossiper.Member) error {
	if err := s.door.Freeze(ctx); err != nil {
		s.log.Warn("tickets-still-running", "error", err)
	}
	owners := make(map[string]bool)
	for _, part := range s.door.Tables() {
		owners[part.Owner] = true
		err := s.transport.TakeTickets(ctx, m.RPC, &part)
		if err != nil && !part.Final {
			s.door.Thaw()
			return err
		}
		if err != nil {
			s.log.Warn("handover-unclear", "to", m.Name, "error", err)
		}
	}
	// From here on the successor may act on the tables, so this instance must not.
	s.door.HandedOver(m.Request)
	s.log.Info("tickets-handed-over", "to", m.Name, "issuers", len(owners))
	var errs []error
	for owner := range owners {
		errs = append(errs, s.control.PublishTicketHandover(ctx, owner, m.Name))
	}
	return errors.Join(errs...)
}

// Close stops the instance at once.
func (s *Server) Close() error {
	s.peerGRPC.Stop()
	s.operGRPC.Stop()
	errs := []error{s.status.Close(), s.control.Close(), s.door.Close(), s.flow.Close(), s.transport.Close()}
	s.serving.Wait()
	return errors.Join(errs...)
}
