package server

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"almondpick/admitter"
	"almondpick/configurer"
	"almondpick/controller"
	"almondpick/diverter"
	"almondpick/estimator"
	"almondpick/gossiper"
	"almondpick/messenger"
	"almondpick/meter"
	"almondpick/steerer"
	"almondpick/warmer"
)

// Timeouts and sizes of a Node.
const (
	nodeHeartbeatInterval = 200 * time.Millisecond
	nodeElectionTimeout   = 800 * time.Millisecond
	readHeaderTimeout     = 2 * time.Second
	killMargin            = time.Second // of StopGracePeriod, kept for the last steps of a planned stop before the process is killed
	httpShutdownTimeout   = time.Second // for HTTP requests in progress at a planned stop; no longer than their callers wait
	maxDatagramSize       = 64 << 10    // bytes, of a gossip datagram
)

// OperatorHandlerFactory returns the HTTP handler for the operator address of a Node.
type OperatorHandlerFactory func(c *controller.Controller, m *meter.Meter) http.Handler

// ReadinessHandlerFactory returns the HTTP handler for readiness probes; ready reports
// whether the Node takes traffic.
type ReadinessHandlerFactory func(ready func() bool) http.Handler

// Node is a running instance that routes the packets of a flow by the label in them, which
// names the target, and that listens only on the addresses that are set in its settings.
type Node struct {
	settings          configurer.NodeSettings
	clock             Clock
	startedAt         time.Time
	log               *slog.Logger
	transport         *transport
	controller        controllerPtr
	diverter          *diverter.Listener
	meter             *meter.Meter
	peerConn          *net.UDPConn
	peerServer        *grpc.Server
	httpServers       []*http.Server
	serverLoops       sync.WaitGroup
	clusterState      atomic.Pointer[controller.ClusterState]
	views             viewBuilder // used by the control loop only
	stopping          atomic.Bool
	controllerOptions []controller.Option
}

// NodeOption configures a Node.
type NodeOption func(*Node)

// WithControllerOptions passes options to the controller of the Node.
func WithControllerOptions(opts ...controller.Option) NodeOption {
	return func(n *Node) { n.controllerOptions = append(n.controllerOptions, opts...) }
}

// StartNode starts an instance. The settings must have passed Validate. If a component
// fails to start, StartNode closes the others and returns the error.
func StartNode(settings configurer.NodeSettings, clock Clock, log *slog.Logger, codec diverter.Codec, newOperatorHandler OperatorHandlerFactory, newReadinessHandler ReadinessHandlerFactory, opts ...NodeOption) (*Node, error) {
	log.Info("starting", "instance", settings.Name)
	n := &Node{settings: settings, clock: clock, startedAt: clock.Now(), log: log, meter: meter.New(), transport: newTransport(nil, clock, log)}
	n.controllerOptions = []controller.Option{controller.WithLogger(log), controller.WithStateHandler(n.applyClusterState),
		controller.WithFetchObserver(n.meter.RegisterFetchMetrics())}
	for _, o := range opts {
		o(n)
	}
	keys, err := messenger.DeriveKeys(make([]byte, messenger.GroupKeySize))
	if err != nil {
		return nil, err
	}
	if err := n.start(codec, keys, newOperatorHandler, newReadinessHandler); err != nil {
		return nil, errors.Join(err, n.Close())
	}
	log.Info("started", "instance", settings.Name, "label", settings.DisplayName, "data-centre", settings.DataCentre, "peer", settings.PeerAddress,
		"flow", settings.FlowAddress, "operator", settings.OperatorAddress, "data-folder", settings.DataFolder,
		"first-start", settings.FirstStart, "seeds", settings.Seeds, "target-estimates", settings.TargetEstimates)
	return n, nil
}

// start opens the sockets and starts the components. On an error the caller must call Close.
func (n *Node) start(codec diverter.Codec, keys messenger.DerivedKeys, newOperatorHandler OperatorHandlerFactory, newReadinessHandler ReadinessHandlerFactory) error {
	address := netip.MustParseAddrPort(n.peerListenAddress())
	var err error
	if n.peerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return eris.Wrap(err, "open peer UDP socket")
	}
	n.transport.setSender(&datagramSender{conn: n.peerConn, log: n.log})
	if n.settings.FlowAddress != "" {
		observer := n.meter.RegisterSteeringMetrics()
		n.diverter, err = diverter.Listen(netip.MustParseAddrPort(n.settings.FlowAddress), codec, n.clock, n.startedAt,
			diverter.WithLogger(n.log), diverter.WithObserver(observer), diverter.WithLinkRate(n.settings.LinkRate),
			diverter.WithSteerer(n.newSteerer(observer)))
		if err != nil {
			return err
		}
		n.meter.RegisterPoolLoads(n.diverter.PoolLoads)
		n.meter.RegisterAdmission(n.diverter)
		if n.settings.TargetEstimates {
			n.meter.RegisterTargetEstimates(n.diverter.EstimateStats)
			n.controllerOptions = append(n.controllerOptions, controller.WithTargetObserver(n.diverter))
		}
		if n.settings.LinkRate > 0 {
			observer.RegisterEgress(n.diverter)
		}
	}
	n.meter.RegisterEvacuations(func() map[string]bool { return evacuations(n.clusterState.Load()) })
	n.controller, err = controller.New(n.controllerSettings(), n.clock, n.transport, keys, n.controllerOptions...)
	if err != nil {
		return err
	}
	n.serverLoops.Add(1)
	go n.receiveGossip(keys)
	return n.startServers(newOperatorHandler, newReadinessHandler)
}

// newSteerer returns a steerer that notifies the observer of the end of flows.
func (n *Node) newSteerer(observer *meter.SteeringMetrics) *steerer.Steerer {
	opts := []steerer.Option{
		steerer.WithFlowEndCallback(observer.ObserveFlowEnd),
		steerer.WithWarmer(n.newWarmer()),
		steerer.WithAdmitter(admitter.New(admitter.WithLinkRate(float64(n.settings.LinkRate)))),
	}
	if n.settings.TargetEstimates {
		opts = append(opts, steerer.WithTargetEstimates(estimator.New()))
	}
	return steerer.New(opts...)
}

// newWarmer returns the warmer with the bound that the settings have.
func (n *Node) newWarmer() *warmer.Warmer {
	if n.settings.SlowStartExcess == 0 {
		return warmer.New(n.settings.Name)
	}
	return warmer.New(n.settings.Name, warmer.WithBound(n.settings.SlowStartExcess, n.settings.SlowStartSlack))
}

// peerListenAddress returns the address that the peer sockets, UDP and TCP, listen on.
func (n *Node) peerListenAddress() string {
	if n.settings.PeerListenAddress != "" {
		return n.settings.PeerListenAddress
	}
	return n.settings.PeerAddress
}

func (n *Node) controllerSettings() controller.Settings {
	s := controller.Settings{
		Self: gossiper.Instance{
			Name: n.settings.Name, DataCentre: n.settings.DataCentre, PeerAddress: n.settings.PeerAddress, RPCAddress: n.settings.PeerAddress,
			OperatorAddress: n.settings.OperatorAddress, ProcessStartMillis: uint64(n.startedAt.UnixMilli()),
		},
		Seeds:             n.settings.Seeds,
		DataCentres:       n.settings.DataCentres,
		DataFolder:        n.settings.DataFolder,
		FirstStart:        n.settings.FirstStart,
		HeartbeatInterval: nodeHeartbeatInterval,
		ElectionTimeout:   nodeElectionTimeout,
		VoterCount:        2*n.settings.ToleratedInstanceLosses + 1,
		LabelSteering:     true,
		HandlesFlows:      n.settings.FlowAddress != "",
		TargetEstimates:   n.settings.TargetEstimates,
	}
	for _, seed := range n.settings.Seeds {
		s.InitialVoters = append(s.InitialVoters, netip.MustParseAddrPort(seed).Addr().String())
	}
	return s
}

// startServers starts the gRPC server for peers and the HTTP servers.
func (n *Node) startServers(newOperatorHandler OperatorHandlerFactory, newReadinessHandler ReadinessHandlerFactory) error {
	l, err := net.Listen("tcp4", n.peerListenAddress())
	if err != nil {
		return eris.Wrap(err, "open peer TCP listener")
	}
	n.peerServer = grpc.NewServer(grpc.ReadBufferSize(connBufferSize), grpc.WriteBufferSize(connBufferSize), closeIdleConns())
	messenger.RegisterPeer(n.peerServer, &peerService{controller: n.controller})
	n.runServer(func() error { return n.peerServer.Serve(l) })
	endpoints := []struct {
		address string
		handler http.Handler
	}{
		{n.settings.OperatorAddress, newOperatorHandler(n.controller, n.meter)},
		{n.settings.ReadyAddress, newReadinessHandler(n.Ready)},
		{n.settings.MetricsAddress, promhttp.HandlerFor(n.meter.Gatherer(), promhttp.HandlerOpts{})},
	}
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		l, err := net.Listen("tcp4", endpoint.address)
		if err != nil {
			return eris.Wrap(err, "open HTTP listener")
		}
		s := &http.Server{Handler: endpoint.handler, ReadHeaderTimeout: readHeaderTimeout}
		n.httpServers = append(n.httpServers, s)
		n.runServer(func() error { return s.Serve(l) })
	}
	return nil
}

// runServer runs serve in a goroutine that Close waits for. An error of serve is logged,
// unless it only reports that the server was closed.
func (n *Node) runServer(serve func() error) {
	n.serverLoops.Add(1)
	go func() {
		defer n.serverLoops.Done()
		err := serve()
		if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
			n.log.Error("server-failed", "error", err)
		}
	}()
}

// receiveGossip passes gossip datagrams to the controller until the peer socket is closed.
// Datagrams that keys do not verify, or that are of another kind, are dropped.
func (n *Node) receiveGossip(keys messenger.DerivedKeys) {
	defer n.serverLoops.Done()
	b := make([]byte, maxDatagramSize)
	for {
		size, from, err := n.peerConn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Debug("peer-read-failed", "error", err)
			continue
		}
		kind, body, err := keys.VerifyDatagram(b[:size])
		if err != nil || kind != messenger.DatagramGossip {
			n.log.Debug("datagram-rejected", "from", from, "kind", kind, "error", err)
			continue
		}
		if accepted, err := n.controller.Gossip(from.String(), body); err != nil || !accepted {
			n.log.Warn("gossip-dropped", "from", from, "error", err)
		}
	}
}

// datagramSender sends gossip datagrams from the peer socket. It implements sender.
type datagramSender struct {
	conn *net.UDPConn
	log  *slog.Logger
}

// Datagram sends one datagram. An error is only logged.
func (s *datagramSender) Datagram(to string, b []byte) {
	address, err := netip.ParseAddrPort(to)
	if err == nil {
		_, err = s.conn.WriteToUDPAddrPort(b, address)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Debug("gossip-send-failed", "to", to, "error", err)
	}
}

// applyClusterState makes a new snapshot of the control state the current one and updates the
// routing of flows.
func (n *Node) applyClusterState(cluster controller.ClusterState) {
	n.clusterState.Store(&cluster)
	if n.diverter != nil {
		n.diverter.SetView(n.views.view(cluster))
	}
}

// Ready reports whether the instance takes traffic.
func (n *Node) Ready() bool {
	cluster := n.clusterState.Load()
	return cluster != nil && cluster.Ready && !n.stopping.Load()
}

// Reload applies new settings. Only the seeds and the list of data centres can change while the
// instance runs; a change of another setting is logged and takes effect at the next start.
func (n *Node) Reload(ctx context.Context, settings configurer.NodeSettings) error {
	withOldSeeds := settings
	withOldSeeds.Seeds, withOldSeeds.FirstStart, withOldSeeds.DataCentres = n.settings.Seeds, n.settings.FirstStart, n.settings.DataCentres
	if !reflect.DeepEqual(withOldSeeds, n.settings) {
		n.log.Warn("reload-partial", "reason", "settings other than seeds and data centres need a restart")
	}
	if err := n.controller.SetSeeds(ctx, settings.Seeds); err != nil {
		return err
	}
	if err := n.controller.SetDataCentres(ctx, settings.DataCentres); err != nil {
		return err
	}
	n.log.Info("reload", "seeds", settings.Seeds, "data-centres", settings.DataCentres)
	return nil
}

// Stop shuts the instance down gracefully. The instance reports that it is not ready and
// forwards packets until the fabric has taken it out of its rotation, transfers the
// leadership if it leads the voters, answers the HTTP requests in progress and closes. If
// ctx ends first, the remaining steps are cut short.
func (n *Node) Stop(ctx context.Context) error {
	n.log.Info("stopping", "instance", n.settings.Name)
	n.stopping.Store(true)
	if n.diverter != nil {
		n.waitOutOfRotation(ctx)
	}
	if n.settings.OperatorAddress != "" {
		n.controller.TransferLeadership(ctx)
		n.shutDownHTTP(ctx)
	}
	err := n.Close()
	n.log.Info("stopped", "instance", n.settings.Name)
	return err
}

// shutDownHTTP closes the HTTP listeners and waits, for up to httpShutdownTimeout, until the
// requests in progress have been answered. It must run before Close stops the components
// that the handlers use.
func (n *Node) shutDownHTTP(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, httpShutdownTimeout)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, s := range n.httpServers {
		shutdowns.Add(1)
		go func() {
			defer shutdowns.Done()
			if err := s.Shutdown(ctx); err != nil {
				n.log.Warn("calls-cut", "error", err)
			}
		}()
	}
	shutdowns.Wait()
}

// Close stops the instance at once and waits for its goroutines.
func (n *Node) Close() error {
	var errs []error
	for _, s := range n.httpServers {
		errs = append(errs, s.Close())
	}
	if n.peerServer != nil {
		n.peerServer.Stop()
	}
	if n.controller != nil {
		errs = append(errs, n.controller.Close())
	}
	if n.diverter != nil {
		errs = append(errs, n.diverter.Close())
	}
	if n.peerConn != nil {
		errs = append(errs, n.peerConn.Close())
	}
	errs = append(errs, n.transport.Close())
	n.serverLoops.Wait()
	return errors.Join(errs...)
}
