package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"almondpick/announcer"
	"almondpick/parser"
	"almondpick/requester"
)

// Clock provides the time and tickers. The function that Ticker returns stops the ticker.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// HeaderRequestID is the header with the identifier of a simulated request.
const HeaderRequestID = "X-Request-Id"

// TargetSettings are the settings of a simulated target.
type TargetSettings struct {
	Job                string
	HostName           string   // of the service, in requests
	ServiceAddresses   []string // IP:port
	DataCentre         string
	Slots              int            // requests that may run at the same time
	MeanProcessingTime time.Duration  // of a request; the actual time is 0.5 to 1.5 times as long
	CallerAddress      netip.AddrPort // where packets for all callers are sent
	StatusAddresses    []string       // of the instances that get the announcements
}

// Target is a simulated target. It decapsulates Geneve packets as a kernel does, replies
// directly to callers, serves requests, and announces itself to the instances.
type Target struct {
	settings     TargetSettings
	clock        Clock
	collector    *Collector
	socket       *net.UDPConn
	httpServer   *http.Server
	httpListener net.Listener
	httpClient   *http.Client

	mu            sync.Mutex
	nextSeqByFlow map[parser.FlowKey]uint32 // next sequence number expected from the caller
	state         announcer.State

	runningRequests atomic.Int64
	lastSequence    uint64
	incarnation     uint64
	done            chan struct{}
	goroutines      sync.WaitGroup
}

// StartTarget starts a target on free loopback ports.
func StartTarget(settings TargetSettings, clock Clock, collector *Collector) (*Target, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	httpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	t := &Target{
		settings: settings, clock: clock, collector: collector, socket: socket, httpListener: httpListener,
		nextSeqByFlow: make(map[parser.FlowKey]uint32), incarnation: uint64(clock.Now().UnixMilli()),
		httpClient: &http.Client{Timeout: time.Second}, done: make(chan struct{}),
	}
	t.httpServer = &http.Server{Handler: http.HandlerFunc(t.serveRequest), ReadHeaderTimeout: 5 * time.Second}
	t.goroutines.Add(3)
	go t.receivePackets()
	go t.announcePeriodically()
	go func() {
		defer t.goroutines.Done()
		_ = t.httpServer.Serve(httpListener) // returns after Close
	}()
	return t, nil
}

// Endpoint returns the address to which instances send the packets of flows.
func (t *Target) Endpoint() netip.AddrPort {
	return t.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// OpenFlowCount returns the number of open flows.
func (t *Target) OpenFlowCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.nextSeqByFlow)
}

// SetState changes the state that the target announces.
func (t *Target) SetState(state announcer.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// Close stops the target without draining it.
func (t *Target) Close() error {
	close(t.done)
	err := errors.Join(t.socket.Close(), t.httpServer.Close())
	t.goroutines.Wait()
	t.httpClient.CloseIdleConnections()
	return err
}

func (t *Target) receivePackets() {
	defer t.goroutines.Done()
	buffer := make([]byte, 64<<10)
	for {
		n, err := t.socket.Read(buffer)
		if err != nil {
			return
		}
		outer, fault := parser.ParseGeneve(buffer[:n])
		if fault != parser.FaultNone || outer.Control {
			continue
		}
		if inner, fault := parser.ParseInner(outer.Payload, outer.EtherType); fault == parser.FaultNone {
			t.handlePacket(inner, outer.Payload)
		}
	}
}

// handlePacket simulates a TCP stack: it acknowledges packets of flows that were opened on
// this target, and resets other flows, unless the packet is a FIN.
func (t *Target) handlePacket(packet parser.Packet, ipPacket []byte) {
	t.collector.checkDestination(t.settings.ServiceAddresses, packet.Key)
	received, ok := decodeIPPacket(ipPacket)
	if !ok {
		return
	}
	t.mu.Lock()
	nextSeq, flowOpen := t.nextSeqByFlow[packet.Key]
	switch {
	case received.rst:
		delete(t.nextSeqByFlow, packet.Key)
	case received.syn:
		t.nextSeqByFlow[packet.Key] = received.seq + 1
	case flowOpen && received.seq == nextSeq:
		t.nextSeqByFlow[packet.Key] = nextSeq + uint32(len(received.payload))
	}
	nextSeq = t.nextSeqByFlow[packet.Key]
	if flowOpen && received.fin {
		delete(t.nextSeqByFlow, packet.Key)
		nextSeq++
	}
	t.mu.Unlock()
	if received.rst {
		return
	}
	reply := segment{source: received.destination, destination: received.source, ack: true, ackNumber: nextSeq, syn: received.syn, seq: 1}
	if !flowOpen && !received.syn && !received.fin {
		reply = segment{source: received.destination, destination: received.source, rst: true, seq: received.ackNumber}
	}
	// If the reply is lost, the caller retransmits.
	_, _ = t.socket.WriteToUDPAddrPort(reply.encodeIPPacket(), t.settings.CallerAddress)
}

func (t *Target) announcePeriodically() {
	defer t.goroutines.Done()
	ticks, stop := t.clock.Ticker(announcer.AnnouncementInterval / 2)
	defer stop()
	for {
		t.announce()
		select {
		case <-t.done:
			return
		case <-ticks:
		}
	}
}

// announce sends one announcement to an instance, and to the next one if that fails. The
// first instance depends on the port of the target.
func (t *Target) announce() {
	t.lastSequence++
	t.mu.Lock()
	announcement := announcer.Announcement{
		Endpoint: t.Endpoint(), RequestAddress: t.httpListener.Addr().(*net.TCPAddr).AddrPort(), Job: t.settings.Job,
		DataCentre: t.settings.DataCentre, Slots: t.settings.Slots, Connections: len(t.nextSeqByFlow), RunningRequests: int(t.runningRequests.Load()),
		State: t.state, Incarnation: t.incarnation, Sequence: t.lastSequence,
	}
	t.mu.Unlock()
	announcement.Load = float64(announcement.RunningRequests) / float64(max(1, announcement.Slots))
	body, err := json.Marshal(announcement)
	if err != nil {
		return
	}
	firstIndex := int(t.Endpoint().Port())
	for i := range t.settings.StatusAddresses {
		address := t.settings.StatusAddresses[(firstIndex+i)%len(t.settings.StatusAddresses)]
		response, err := t.httpClient.Post("http://"+address+"/v1/announce", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode < 300 {
			return
		}
	}
}

// serveRequest serves a request. It sheds the request if all slots are in use.
func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	defer t.runningRequests.Add(-1)
	if int(t.runningRequests.Add(1)) > t.settings.Slots {
		w.Header().Set(requester.HeaderOutcome, string(requester.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Host != t.settings.HostName {
		t.collector.recordMisroutedRequest()
	}
	requestID := r.Header.Get(HeaderRequestID)
	t.collector.recordRun(requestID, r.Method == http.MethodPost)
	body, _ := io.ReadAll(r.Body) // the response gives the length of the part that was received
	processingTime := time.Duration(float64(t.settings.MeanProcessingTime) * (0.5 + rand.Float64()))
	ctx, cancel := context.WithTimeout(r.Context(), processingTime)
	defer cancel()
	<-ctx.Done()
	response := requestID + " " + strconv.Itoa(len(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	// Writing fails if the caller has disconnected.
	_, _ = io.WriteString(w, response)
}
