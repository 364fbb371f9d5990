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

	"almondpick/configurer"
	"almondpick/controller"
	"almondpick/diverter"
	"almondpick/gossiper"
	"almondpick/messenger"
	"almondpick/meter"
	"almondpick/steerer"
)

// Times of an instance that steers by label.
const (
	nodeHeartbeat = 200 * time.Millisecond
	nodeElection  = 800 * time.Millisecond
	headerTimeout = 2 * time.Second
	stopReserve   = time.Second // before the kill that follows a wish to stop
	finishTime    = time.Second // that calls under way get at a planned stop, no more than their callers wait
	datagramSize  = 64 << 10    // bytes
)

// API makes the handler of the operator door over the control state.
type API func(c *controller.Controller) http.Handler

// Ready makes the handler of readiness probes.
type Ready func(ready func() bool) http.Handler

// Node is a running instance that steers flows by label and opens only the doors that
// its settings name.
type Node struct {
	set       configurer.Node
	clock     Clock
	start     time.Time
	log       *slog.Logger
	transport *transport
	control   control
	flow      *diverter.Listener
	meter     *meter.Meter
	peer      *net.UDPConn
	grpc      *grpc.Server
	web       []*http.Server
	serving   sync.WaitGroup
	world     atomic.Pointer[controller.World]
	stopping  atomic.Bool
	options   []controller.Option
}

// NodeOption sets a property of a Node.
type NodeOption func(*Node)

// WithControl passes options on to the controller.
func WithControl(opts ...controller.Option) NodeOption {
	return func(n *Node) { n.options = append(n.options, opts...) }
}

// StartNode starts an instance. The settings must have passed Validate. The error is
// that of the first part that could not start.
func StartNode(set configurer.Node, clock Clock, log *slog.Logger, codec diverter.Codec, api API, ready Ready, opts ...NodeOption) (*Node, error) {
	log.Info("starting", "instance", set.Name)
	n := &Node{set: set, clock: clock, start: clock.Now(), log: log, meter: meter.New(), transport: newTransport(nil, log)}
	n.options = []controller.Option{controller.WithLogger(log), controller.WithWorlds(n.setWorld)}
	for _, o := range opts {
		o(n)
	}
	keys, err := messenger.DeriveKeys(make([]byte, messenger.GroupKeySize))
	if err != nil {
		return nil, err
	}
	if err := n.open(codec, keys, api, ready); err != nil {
		return nil, errors.Join(err, n.Close())
	}
	log.Info("started", "instance", set.Name, "label", set.Label, "data-centre", set.DataCentre, "peer", set.PeerAddress,
		"flow", set.FlowAddress, "operator", set.OperatorAddress, "data-folder", set.DataFolder,
		"first-start", set.FirstStart, "seeds", set.Seeds)
	return n, nil
}

func (n *Node) open(codec diverter.Codec, keys messenger.DerivedKeys, api API, ready Ready) error {
	at := netip.MustParseAddrPort(n.peerListen())
	var err error
	if n.peer, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return eris.Wrap(err, "open peer door")
	}
	n.transport.setSender(&datagramSender{conn: n.peer, log: n.log})
	if n.set.FlowAddress != "" {
		observer := n.meter.Steering()
		n.flow, err = diverter.Listen(netip.MustParseAddrPort(n.set.FlowAddress), codec, n.clock, n.start,
			diverter.WithLogger(n.log), diverter.WithObserver(observer),
			diverter.WithSteerer(steerer.New(steerer.WithFlowEndCallback(observer.Ended))))
		if err != nil {
			return err
		}
	}
	n.control, err = controller.New(n.controlSettings(), n.clock, n.transport, keys, n.options...)
	if err != nil {
		return err
	}
	n.serving.Add(1)
	go n.readPeer(keys)
	return n.serve(api, ready)
}

// peerListen returns where the peer door listens.
func (n *Node) peerListen() string {
	if n.set.PeerListen != "" {
		return n.set.PeerListen
	}
	return n.set.PeerAddress
}

func (n *Node) controlSettings() controller.Settings {
	s := controller.Settings{
		Self: gossiper.Instance{
			Name: n.set.Name, DataCentre: n.set.DataCentre, PeerAddress: n.set.PeerAddress, RPCAddress: n.set.PeerAddress,
			OperatorAddress: n.set.OperatorAddress, ProcessStartMillis: uint64(n.start.UnixMilli()),
		},
		Seeds:      n.set.Seeds,
		DataFolder: n.set.DataFolder,
		FirstStart: n.set.FirstStart,
		Heartbeat:  nodeHeartbeat,
		Election:   nodeElection,
		Electorate: 2*n.set.LostInstances + 1,
		Labels:     true,
		Traffic:    n.set.FlowAddress != "",
	}
	for _, seed := range n.set.Seeds {
		s.Voters = append(s.Voters, netip.MustParseAddrPort(seed).Addr().String())
	}
	return s
}

// serve starts the peer door's TCP side and the HTTP doors.
func (n *Node) serve(api API, ready Ready) error {
	l, err := net.Listen("tcp4", n.peerListen())
	if err != nil {
		return eris.Wrap(err, "open peer door")
	}
	n.grpc = grpc.NewServer(grpc.ReadBufferSize(connBuffer), grpc.WriteBufferSize(connBuffer))
	messenger.RegisterPeer(n.grpc, &peerService{control: n.control})
	n.run(func() error { return n.grpc.Serve(l) })
	doors := []struct {
		address string
		handler http.Handler
	}{
		{n.set.OperatorAddress, api(n.control)},
		{n.set.ReadyAddress, ready(n.Ready)},
		{n.set.MetricsAddress, promhttp.HandlerFor(n.meter.Gatherer(), promhttp.HandlerOpts{})},
	}
	for _, d := range doors {
		if d.address == "" {
			continue
		}
		l, err := net.Listen("tcp4", d.address)
		if err != nil {
			return eris.Wrap(err, "open door")
		}
		s := &http.Server{Handler: d.handler, ReadHeaderTimeout: headerTimeout}
		n.web = append(n.web, s)
		n.run(func() error { return s.Serve(l) })
	}
	return nil
}

func (n *Node) run(serve func() error) {
	n.serving.Add(1)
	go func() {
		defer n.serving.Done()
		err := serve()
		if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
			n.log.Error("door-failed", "error", err)
		}
	}()
}

// readPeer takes in gossip.
func (n *Node) readPeer(keys messenger.DerivedKeys) {
	defer n.serving.Done()
	b := make([]byte, datagramSize)
	for {
		size, from, err := n.peer.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Debug("peer-read-failed", "error", err)
			continue
		}
		kind, body, err := keys.VerifyDatagram(b[:size])
		if err != nil || kind != messenger.DatagramGossip {
			n.log.Debug("datagram-refused", "from", from, "kind", kind, "error", err)
			continue
		}
		if taken, err := n.control.Gossip(from.String(), body); err != nil || !taken {
			n.log.Warn("gossip-dropped", "from", from, "error", err)
		}
	}
}

// datagramSender sends gossip.
type datagramSender struct {
	conn *net.UDPConn
	log  *slog.Logger
}

// Datagram implements sender.
func (s *datagramSender) Datagram(to string, b []byte) {
	at, err := netip.ParseAddrPort(to)
	if err == nil {
		_, err = s.conn.WriteToUDPAddrPort(b, at)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Debug("gossip-not-sent", "to", to, "error", err)
	}
}

// setWorld puts a new state of control into use at the flow door.
func (n *Node) setWorld(w controller.World) {
	n.world.Store(&w)
	if n.flow != nil {
		n.flow.SetView(labelView(w))
	}
}

// Ready tells whether the instance takes traffic.
func (n *Node) Ready() bool {
	w := n.world.Load()
	return w != nil && w.Ready && !n.stopping.Load()
}

// Reload puts new settings into use. Only the seeds can change while the instance runs;
// a change of anything else is logged and takes effect at the next start.
func (n *Node) Reload(ctx context.Context, set configurer.Node) error {
	same := set
	same.Seeds, same.FirstStart = n.set.Seeds, n.set.FirstStart
	if !reflect.DeepEqual(same, n.set) {
		n.log.Warn("reload-partial", "reason", "settings other than seeds need a restart")
	}
	if err := n.control.SetSeeds(ctx, set.Seeds); err != nil {
		return err
	}
	n.log.Info("reload", "seeds", set.Seeds)
	return nil
}

// Stop stops the instance as planned: it is out of the fabric's rotation before it
// closes, and forwards until then. ctx cuts the stop short.
func (n *Node) Stop(ctx context.Context) error {
	n.log.Info("stopping", "instance", n.set.Name)
	n.stopping.Store(true)
	if n.flow != nil {
		n.leaveRotation(ctx)
	}
	if n.set.OperatorAddress != "" {
		n.control.Resign(ctx)
		n.finishCalls(ctx)
	}
	err := n.Close()
	n.log.Info("stopped", "instance", n.set.Name)
	return err
}

// finishCalls takes no more calls at the HTTP doors and waits until those under way have
// been answered, while all that they need still runs.
func (n *Node) finishCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	var doors sync.WaitGroup
	for _, s := range n.web {
		doors.Add(1)
		go func() {
			defer doors.Done()
			if err := s.Shutdown(ctx); err != nil {
				n.log.Warn("calls-cut", "error", err)
			}
		}()
	}
	doors.Wait()
}

// Close stops the instance at once.
func (n *Node) Close() error {
	var errs []error
	for _, s := range n.web {
		errs = append(errs, s.Close())
	}
	if n.grpc != nil {
		n.grpc.Stop()
	}
	if n.control != nil {
		errs = append(errs, n.control.Close())
	}
	if n.flow != nil {
		errs = append(errs, n.flow.Close())
	}
	if n.peer != nil {
		errs = append(errs, n.peer.Close())
	}
	errs = append(errs, n.transport.Close())
	n.serving.Wait()
	return errors.Join(errs...)
}
