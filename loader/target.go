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

// Clock gives the time and tickers.
type Clock interface {
	Now() time.Time
	Ticker(d time.Duration) (<-chan time.Time, func())
}

// HeaderRequest names a request of the stand-in callers.
const HeaderRequestID = "X-Request-Id"

// TargetSettings describe one stand-in target.
type TargetSettings struct {
	Job                string
	HostName           string   // the name that its callers use
	ServiceAddresses   []string // of the service, IP:port
	DataCentre         string
	Slots              int
	MeanProcessingTime time.Duration // that a request takes
	CallerAddress      netip.AddrPort
	StatusAddresses    []string // status addresses of instances, to announce itself to
}

// Target is a stand-in target: it takes Geneve packets as a kernel would, answers
// callers directly, runs requests, and announces itself.
type Target struct {
	set    TargetSettings
	clock  Clock
	ledger *Collector
	conn   *net.UDPConn
	server *http.Server
	listen net.Listener
	client *http.Client

	mu    sync.Mutex
	flows map[parser.FlowKey]uint32 // next sequence number expected
	state announcer.State

	running  atomic.Int64
	sequence uint64
	born     uint64
	done     chan struct{}
	loops    sync.WaitGroup
}

// NewTarget starts a target on free loopback ports.
func StartTarget(set TargetSettings, clock Clock, ledger *Collector) (*Target, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	t := &Target{
		set: set, clock: clock, ledger: ledger, conn: conn, listen: listen,
		flows: make(map[parser.FlowKey]uint32), born: uint64(clock.Now().UnixMilli()),
		client: &http.Client{Timeout: time.Second}, done: make(chan struct{}),
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: 5 * time.Second}
	t.loops.Add(3)
	go t.receive()
	go t.announce()
	go func() {
		defer t.loops.Done()
		_ = t.server.Serve(listen) // ends with Close
	}()
	return t, nil
}

// Endpoint returns where instances send the packets of flows.
func (t *Target) Endpoint() netip.AddrPort {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Open returns the number of open flows.
func (t *Target) OpenFlowCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.flows)
}

// SetState changes what the target says of itself.
func (t *Target) SetState(s announcer.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
}

// Close stops the target at once.
func (t *Target) Close() error {
	close(t.done)
	err := errors.Join(t.conn.Close(), t.server.Close())
	t.loops.Wait()
	t.client.CloseIdleConnections()
	return err
}

func (t *Target) receive() {
	defer t.loops.Done()
	b := make([]byte, 64<<10)
	for {
		n, err := t.conn.Read(b)
		if err != nil {
			return
		}
		g, fault := parser.ParseGeneve(b[:n])
		if fault != parser.FaultNone || g.Control {
			continue
		}
		if p, fault := parser.ParseInner(g.Payload, g.EtherType); fault == parser.FaultNone {
			t.packet(p, g.Payload)
		}
	}
}

// packet plays the part of a TCP stack: it acknowledges what belongs to a flow that
// was opened here and resets what does not.
func (t *Target) packet(p parser.Packet, ip []byte) {
	t.ledger.arrived(t.set.ServiceAddresses, p.Key)
	s, ok := decode(ip)
	if !ok {
		return
	}
	t.mu.Lock()
	expected, known := t.flows[p.Key]
	switch {
	case s.rst:
		delete(t.flows, p.Key)
	case s.syn:
		t.flows[p.Key] = s.seq + 1
	case known && s.seq == expected:
		t.flows[p.Key] = expected + uint32(len(s.payload))
	}
	expected = t.flows[p.Key]
	if known && s.fin {
		delete(t.flows, p.Key)
		expected++
	}
	t.mu.Unlock()
	if s.rst {
		return
	}
	answer := segment{from: s.to, to: s.from, ack: true, ackNo: expected, syn: s.syn, seq: 1}
	if !known && !s.syn && !s.fin {
		answer = segment{from: s.to, to: s.from, rst: true, seq: s.ackNo}
	}
	// A lost answer is one that the caller asks for again.
	_, _ = t.conn.WriteToUDPAddrPort(answer.encode(), t.set.CallerAddress)
}

func (t *Target) announce() {
	defer t.loops.Done()
	ticks, stop := t.clock.Ticker(announcer.Interval / 2)
	defer stop()
	for {
		t.announceOnce()
		select {
		case <-t.done:
			return
		case <-ticks:
		}
	}
}

// announceOnce tells one instance, and the next one when it does not answer.
func (t *Target) announceOnce() {
	t.sequence++
	t.mu.Lock()
	a := announcer.Announcement{
		Endpoint: t.Endpoint(), Request: t.listen.Addr().(*net.TCPAddr).AddrPort(), Job: t.set.Job,
		DataCentre: t.set.DataCentre, Slots: t.set.Slots, Connections: len(t.flows), Running: int(t.running.Load()),
		State: t.state, Incarnation: t.born, Sequence: t.sequence,
	}
	t.mu.Unlock()
	a.Load = float64(a.Running) / float64(max(1, a.Slots))
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	start := int(t.Endpoint().Port())
	for i := range t.set.StatusAddresses {
		at := t.set.StatusAddresses[(start+i)%len(t.set.StatusAddresses)]
		response, err := t.client.Post("http://"+at+"/v1/announce", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode < 300 {
			return
		}
	}
}

// serve runs a request. It sheds what exceeds its slots.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	defer t.running.Add(-1)
	if int(t.running.Add(1)) > t.set.Slots {
		w.Header().Set(requester.HeaderOutcome, string(requester.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Host != t.set.HostName {
		t.ledger.misroutedRequest()
	}
	id := r.Header.Get(HeaderRequestID)
	t.ledger.ran(id, r.Method == http.MethodPost)
	body, _ := io.ReadAll(r.Body) // a cut body is answered as far as it came
	work := time.Duration(float64(t.set.MeanProcessingTime) * (0.5 + rand.Float64()))
	ctx, cancel := context.WithTimeout(r.Context(), work)
	defer cancel()
	<-ctx.Done()
	answer := id + " " + strconv.Itoa(len(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	// The caller may be gone.
	_, _ = io.WriteString(w, answer)
}
