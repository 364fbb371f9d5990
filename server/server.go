// Package server assembles an instance from its components: the controller, the forwarding
// of flows, and the servers for peers, operators, requests and metrics. A Server routes flows
// with the forwarder and its flow tables and has a request proxy; a Node routes flows with
// the diverter, by the label in each packet.
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

// Clock provides the current time and tickers, and the time since a fixed moment that includes
// suspensions of the machine.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
	Uptime() time.Duration
}

// controllerPtr is a short name for the type of the controller fields.
type controllerPtr = *controller.Controller

// propagationDelay is how long gossip takes to reach every instance, with a margin. A
// planned stop waits that long before a step for which the other instances must know the
// result of the step before.
const propagationDelay = time.Second

// Server is a running instance that owns flows and proxies HTTP requests.
type Server struct {
	settings       configurer.Settings
	clock          Clock
	log            *slog.Logger
	transport      *transport
	controller     controllerPtr
	forwarder      *forwarder.Forwarder
	proxy          *requester.Proxy
	meter          *meter.Meter
	peerServer     *grpc.Server
	operatorServer *grpc.Server
	statusServer   *http.Server
	serverLoops    sync.WaitGroup
	clusterState   atomic.Pointer[controller.ClusterState]
}

// listeners holds the open sockets of a Server.
type listeners struct {
	flowConn, peerConn                                              *net.UDPConn
	peerListener, requestListener, operatorListener, statusListener net.Listener
}

func (l *listeners) close() {
	for _, c := range []interface{ Close() error }{l.flowConn, l.peerConn, l.peerListener, l.requestListener, l.operatorListener, l.statusListener} {
		if c != nil {
			// Nothing has been sent yet, so a failed close loses no data.
			_ = c.Close()
		}
	}
}

// Start starts an instance. The settings must have passed Validate. If a component fails to
// start, Start closes the sockets and returns the error.
func Start(settings configurer.Settings, clock Clock, log *slog.Logger) (*Server, error) {
	groupKey, err := keyer.ReadGroupKey(settings.GroupKeyFile)
	if err != nil {
		return nil, err
	}
	keys, err := messenger.DeriveKeys(groupKey)
	if err != nil {
		return nil, err
	}
	var tlsConfig *tls.Config
	if !settings.InsecurePlaintext {
		tlsConfig, err = keyer.LoadTLSConfig(keyer.KeyFiles{CACert: settings.CACertFile, Cert: settings.CertFile, Key: settings.KeyFile}, clock)
		if err != nil {
			return nil, err
		}
	}
	l, err := openListeners(settings)
	if err != nil {
		return nil, err
	}
	s := &Server{settings: settings, clock: clock, log: log, meter: meter.New(), transport: newTransport(tlsConfig, clock, log)}
	if err := s.start(l, keys, issuer.NewSigner(groupKey), tlsConfig); err != nil {
		l.close()
		return nil, err
	}
	s.log.Info("started", "instance", settings.Name, "flow", l.flowConn.LocalAddr(), "peer", l.peerConn.LocalAddr(),
		"request", l.requestListener.Addr(), "operator", l.operatorListener.Addr(), "status", l.statusListener.Addr())
	return s, nil
}

func openListeners(settings configurer.Settings) (*listeners, error) {
	l := &listeners{}
	var err error
	flowAddress, peerAddress := netip.MustParseAddrPort(settings.FlowAddress), netip.MustParseAddrPort(settings.PeerAddress)
	if l.flowConn, l.peerConn, err = forwarder.Listen(flowAddress, peerAddress); err != nil {
		return nil, err
	}
	for _, listener := range []struct {
		dest    *net.Listener
		address string
	}{{&l.peerListener, settings.PeerAddress}, {&l.requestListener, settings.RequestAddress}, {&l.operatorListener, settings.OperatorAddress}, {&l.statusListener, settings.StatusAddress}} {
		if *listener.dest, err = net.Listen("tcp", listener.address); err != nil {
			return nil, errors.Join(eris.Wrap(err, "open TCP listener"), l.flowConn.Close(), l.peerConn.Close())
		}
	}
	return l, nil
}

// start starts the components on the open sockets. On an error, those that have been
// started are closed again.
func (s *Server) start(l *listeners, keys messenger.DerivedKeys, signer issuer.Signer, tlsConfig *tls.Config) error {
	var err error
	incarnation := uint64(s.clock.Now().UnixMilli())
	s.proxy, err = requester.New(s.settings.Name, incarnation, l.requestListener, s.clock, signer,
		requester.WithLogger(s.log), requester.WithObserver(s.meter),
		requester.WithWorkers(s.settings.Workers), requester.WithMaxBodySize(s.settings.MaxBodySize))
	if err != nil {
		return err
	}
	gossipHandler := &deferredController{}
	s.forwarder, err = forwarder.New(s.settings.Name, l.flowConn, l.peerConn, s.clock, keys, gossipHandler,
		forwarder.WithLogger(s.log), forwarder.WithMTU(s.settings.MTU), forwarder.WithReplicationBudget(s.settings.ReplicationBudget),
		forwarder.WithPicker(picker.New(picker.WithHashKey(keys.FlowHashKey),
			picker.WithTableLimits(s.settings.FlowLimit, s.settings.HintLimit, s.settings.ReplicaLimit),
			picker.WithReplication(picker.ReplicateWindow, s.settings.ReplicationWindow),
			picker.WithFlowEndCallback(func(svc *picker.Service, d time.Duration) { s.meter.ObserveFlow(svc.Tenant, svc.Class, d) }))))
	if err != nil {
		return errors.Join(err, s.proxy.Close())
	}
	s.transport.setSender(s.forwarder)
	s.controller, err = controller.New(s.controllerSettings(incarnation), s.clock, s.transport, keys,
		controller.WithLogger(s.log), controller.WithStateHandler(s.applyClusterState), controller.WithFetchObserver(s.meter.RegisterFetchMetrics()))
	if err != nil {
		return errors.Join(err, s.proxy.Close(), s.forwarder.Close())
	}
	gossipHandler.set(s.controller)
	s.meter.RegisterInstanceMetrics(s.forwarder, s.proxy, s.instanceState)
	s.meter.RegisterEvacuations(func() map[string]bool { return evacuations(s.clusterState.Load()) })
	s.startServers(l, tlsConfig)
	return nil
}

func (s *Server) controllerSettings(incarnation uint64) controller.Settings {
	return controller.Settings{
		Self: gossiper.Instance{
			Name: s.settings.Name, DataCentre: s.settings.DataCentre, FabricGroup: s.settings.FabricGroup, PeerAddress: s.settings.PeerAddress,
			RPCAddress: s.settings.PeerAddress, RequestAddress: s.settings.RequestAddress, OperatorAddress: s.settings.OperatorAddress, ProcessStartMillis: incarnation,
		},
		Seeds:             configurer.SplitList(s.settings.Seeds),
		DataFolder:        s.settings.DataFolder,
		InitialVoters:     configurer.SplitList(s.settings.Voters),
		FirstStart:        s.settings.FirstStart,
		BaseLag:           s.settings.BaseLag,
		HeartbeatInterval: s.settings.HeartbeatInterval,
		ElectionTimeout:   s.settings.ElectionTimeout,
	}
}

// startServers starts the gRPC servers for peers and operators and the HTTP server for
// announcements, metrics and health.
func (s *Server) startServers(l *listeners, tlsConfig *tls.Config) {
	service := operator.New(s.controller, s.log)
	s.peerServer = newGRPCServer(tlsConfig, keyer.RoleInstance)
	messenger.RegisterPeer(s.peerServer, &peerService{controller: s.controller, proxy: s.proxy})
	s.operatorServer = newGRPCServer(tlsConfig, keyer.RoleOperator, keyer.RoleInstance)
	messenger.RegisterOperator(s.operatorServer, service)
	s.statusServer = &http.Server{Handler: service.Handler(s, s.meter.Gatherer(), s.settings.Pprof), ReadHeaderTimeout: 5 * time.Second}
	for _, serve := range []func() error{
		func() error { return s.peerServer.Serve(l.peerListener) },
		func() error { return s.operatorServer.Serve(l.operatorListener) },
		func() error { return s.statusServer.Serve(l.statusListener) },
	} {
		s.serverLoops.Add(1)
		go func() {
			defer s.serverLoops.Done()
			if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
				s.log.Error("server-failed", "error", err)
			}
		}()
	}
}

func newGRPCServer(tlsConfig *tls.Config, roles ...keyer.Role) *grpc.Server {
	options := []grpc.ServerOption{closeIdleConns()}
	if tlsConfig != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(tlsConfig)), grpc.UnaryInterceptor(requireRole(roles...)))
	}
	return grpc.NewServer(options...)
}

// deferredController passes gossip to a controller that is set after the forwarder, which
// receives the gossip, has been started. Gossip that arrives earlier is dropped.
type deferredController struct {
	controller atomic.Pointer[controller.Controller]
}

func (d *deferredController) set(c *controller.Controller) {
	d.controller.Store(c)
}

// Gossip implements forwarder.GossipHandler.
func (d *deferredController) Gossip(from string, body []byte) (bool, error) {
	c := d.controller.Load()
	if c == nil {
		return false, nil
	}
	return c.Gossip(from, body)
}

// applyClusterState makes a new snapshot of the control state the current one and updates the
// forwarder and the proxy.
func (s *Server) applyClusterState(cluster controller.ClusterState) {
	s.clusterState.Store(&cluster)
	s.forwarder.SetView(newForwarderMembers(cluster), cluster.Self.Serving, newPickerServices(cluster))
	s.proxy.SetView(newProxyView(cluster))
}

// Ready reports whether the instance takes traffic.
func (s *Server) Ready() bool {
	cluster := s.clusterState.Load()
	return cluster != nil && cluster.Ready && !cluster.Leaving
}

// instanceState returns the values of the gauges, from the current snapshot of the control
// state.
func (s *Server) instanceState() meter.InstanceState {
	cluster := s.clusterState.Load()
	if cluster == nil {
		return meter.InstanceState{}
	}
	state := meter.InstanceState{
		ConfigVersion: cluster.Config.Version, Ready: s.Ready(), QuorumUnreachable: cluster.Self.VotersUnreachableSince > 0, LiveMembers: 1, KnownTargets: len(cluster.Targets),
	}
	for _, m := range cluster.Members {
		if m.Alive() {
			state.LiveMembers++
		}
	}
	accepting := 0
	for _, t := range cluster.Targets {
		if acceptsNewWork(*cluster, t) {
			accepting++
		}
	}
	if len(cluster.Targets) > 0 {
		state.AcceptingTargetShare = float64(accepting) / float64(len(cluster.Targets))
	}
	return state
}

// Controller returns the controller of the instance.
func (s *Server) Controller() *controller.Controller {
	return s.controller
}

// FlowForwarder returns the forwarder of the instance.
func (s *Server) FlowForwarder() *forwarder.Forwarder {
	return s.forwarder
}

// Stop shuts the instance down gracefully. The instance announces that it leaves, hands its
// flows and idempotency keys over to other instances, completes the requests in progress,
// transfers the leadership if it leads the voters, and closes. If ctx ends first, the
// remaining steps are cut short. The error joins those of all steps.
func (s *Server) Stop(ctx context.Context) error {
	s.log.Info("stopping", "instance", s.settings.Name)
	var errs []error
	errs = append(errs, s.controller.Leave(ctx))
	s.wait(ctx, propagationDelay)
	errs = append(errs, s.forwarder.HandOverFlows(ctx))
	errs = append(errs, s.handOverIdempotencyKeys(ctx))
	s.wait(ctx, propagationDelay)
	errs = append(errs, s.proxy.Shutdown(ctx))
	s.controller.TransferLeadership(ctx)
	errs = append(errs, s.Close())
	s.log.Info("stopped", "instance", s.settings.Name)
	return errors.Join(errs...)
}

// wait waits for d, or until ctx ends.
func (s *Server) wait(ctx context.Context, d time.Duration) {
	ticks, stop := s.clock.Ticker(d)
	defer stop()
	select {
	case <-ticks:
	case <-ctx.Done():
	}
}

// handOverIdempotencyKeys hands the idempotency-key tables over to one of the other serving
// instances. It does nothing if there is none.
func (s *Server) handOverIdempotencyKeys(ctx context.Context) error {
	cluster := s.clusterState.Load()
	if cluster == nil {
		return nil
	}
	for _, m := range cluster.Members {
		if m.Alive() && m.Serving {
			return s.handOverIdempotencyKeysTo(ctx, m)
		}
	}
	return nil
}

// handOverIdempotencyKeysTo hands the idempotency-key tables over to m. An error before the
// final part was sent leaves the tables with this instance.
func (s *Server) handOverIdempotencyKeysTo(ctx context.Context, m gossiper.Member) error {
	if err := s.proxy.PauseKeyedRequests(ctx); err != nil {
		s.log.Warn("keyed-requests-still-running", "error", err)
	}
	issuerIDs := make(map[string]bool)
	for _, handover := range s.proxy.ExportHandover() {
		issuerIDs[handover.IssuerID] = true
		err := s.transport.TakeTickets(ctx, m.RPCAddress, &handover)
		if err != nil && !handover.FinalPart {
			s.proxy.ResumeKeyedRequests()
			return err
		}
		if err != nil {
			s.log.Warn("handover-unclear", "to", m.Name, "error", err)
		}
	}
	// From here on the successor may use the tables, so this instance must not.
	s.proxy.CompleteHandover(m.RequestAddress)
	s.log.Info("idempotency-keys-handed-over", "to", m.Name, "issuers", len(issuerIDs))
	var errs []error
	for issuerID := range issuerIDs {
		errs = append(errs, s.controller.PublishKeyTableHandover(ctx, issuerID, m.Name))
	}
	return errors.Join(errs...)
}

// Close stops the instance at once and waits for its goroutines.
func (s *Server) Close() error {
	s.peerServer.Stop()
	s.operatorServer.Stop()
	errs := []error{s.statusServer.Close(), s.controller.Close(), s.proxy.Close(), s.forwarder.Close(), s.transport.Close()}
	s.serverLoops.Wait()
	return errors.Join(errs...)
}
