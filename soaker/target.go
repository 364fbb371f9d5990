package soaker

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"almondpick/announcer"
	"almondpick/platform"
)

// Settings of the simulated targets and time limits of calls and flows.
const (
	slotsPerTarget    = 4
	heartbeatInterval = 300 * time.Millisecond  // of targets
	callTimeout       = time.Second             // of one HTTP call
	processingTime    = 20 * time.Millisecond   // of one request at a target
	openTimeout       = 1400 * time.Millisecond // until a caller stops waiting for the reply to the opening segment
	requestTimeout    = 4 * time.Second         // until a caller stops retransmitting a request
)

// target is a simulated target (back end). It sends heartbeats, accepts flows and answers
// one request on each.
type target struct {
	identity          uint64
	pool              string
	dataCentre        string
	incarnation       int64 // start time in Unix milliseconds
	socket            *net.UDPConn
	endpoint          netip.AddrPort
	operatorAddresses func() []string
	checker           *checker

	mu                  sync.Mutex
	lastSequence        uint64
	draining            bool
	drainAcknowledgedAt time.Time                            // first acknowledged heartbeat with state Draining; zero before
	responseByCaller    map[netip.AddrPort]*platform.Segment // of the open flows; without Data until the request has run
	lastFlowAt          time.Time                            // when a flow was last opened
	startedAgain        bool                                 // under its identity
	slowStartFlows      []time.Time                          // when those of the last second were sent; the checker's lock guards it
	done                chan struct{}
	goroutines          sync.WaitGroup
}

// startTarget starts a target that sends its heartbeats to one of operatorAddresses.
func startTarget(identity uint64, pool, dataCentre string, endpoint netip.AddrPort, operatorAddresses func() []string, c *checker, startedAgain bool) (*target, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(endpoint))
	if err != nil {
		return nil, err
	}
	t := &target{
		identity: identity, pool: pool, dataCentre: dataCentre, incarnation: time.Now().UnixMilli(), socket: socket, endpoint: endpoint, operatorAddresses: operatorAddresses,
		checker: c, responseByCaller: make(map[netip.AddrPort]*platform.Segment), lastFlowAt: time.Now(), startedAgain: startedAgain, done: make(chan struct{}),
	}
	t.goroutines.Add(2)
	go t.sendHeartbeats()
	go t.receiveSegments()
	return t, nil
}

func (t *target) id() string { return platform.TargetID(t.identity) }

// sendHeartbeats sends heartbeats until the target stops.
func (t *target) sendHeartbeats() {
	defer t.goroutines.Done()
	for {
		t.sendHeartbeat()
		select {
		case <-t.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat sends one heartbeat to the first storage instance that acknowledges it.
func (t *target) sendHeartbeat() {
	t.mu.Lock()
	t.lastSequence++
	draining, state := t.draining, announcer.Serving
	if draining {
		state = announcer.Draining
	}
	body := t.encodeHeartbeat(state)
	t.mu.Unlock()
	acknowledged := callUntilAcknowledged(t.operatorAddresses(), http.MethodPut, platform.TargetPath(t.identity), body)
	if draining && acknowledged {
		t.mu.Lock()
		if t.drainAcknowledgedAt.IsZero() {
			t.drainAcknowledgedAt = time.Now()
		}
		t.mu.Unlock()
	}
}

// announcement returns what the target announces in a state. The caller holds mu.
func (t *target) announcement(state announcer.State) announcer.Announcement {
	return announcer.Announcement{
		Endpoint: t.endpoint, Job: t.pool, DataCentre: t.dataCentre, Slots: slotsPerTarget, State: state, Sequence: t.lastSequence, Incarnation: uint64(t.incarnation),
		SlowStartRemaining: t.slowStartRemaining(),
	}
}

// encodeHeartbeat returns the body of a heartbeat of the target in a state. The caller holds mu.
func (t *target) encodeHeartbeat(state announcer.State) string {
	body, err := platform.EncodeHeartbeat(t.announcement(state))
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return string(body)
}

// drain changes the state of the target to Draining and sends a heartbeat with it.
func (t *target) drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.sendHeartbeat()
}

// stop stops the target and deregisters it, unless skipDeregistration is set.
func (t *target) stop(skipDeregistration bool) {
	close(t.done)
	_ = t.socket.Close()
	t.goroutines.Wait()
	if !skipDeregistration {
		callUntilAcknowledged(t.operatorAddresses(), http.MethodDelete, platform.TargetPath(t.identity), "")
	}
}

// receiveSegments handles the segments that carry the identity of this target.
func (t *target) receiveSegments() {
	defer t.goroutines.Done()
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		identity, segment, err := platform.DecodeTargetDatagram(buffer[:n])
		if err == nil && identity == t.identity {
			segment.Data = append([]byte(nil), segment.Data...)
			t.handleSegment(segment)
		}
	}
}

// handleSegment replies to a segment of a caller: it accepts new flows, resets unknown
// ones, and runs the request of a flow once.
func (t *target) handleSegment(segment platform.Segment) {
	reply := platform.Segment{Label: segment.Label, From: segment.To, To: segment.From, Seq: uint32(t.identity), Ack: segment.Seq + 1}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case segment.SYN:
		if t.responseByCaller[segment.From] == nil {
			t.checker.checkFlowOpened(t, segment)
			if t.slowStartRemaining() > 0 {
				t.checker.recordSlowStartFlow(t, segment.From)
			}
			t.lastFlowAt = time.Now()
			t.responseByCaller[segment.From] = &platform.Segment{}
		}
		reply.SYN, reply.SYNACK = true, true
	case t.responseByCaller[segment.From] == nil:
		reply.RST = true
	case segment.FIN || segment.RST:
		delete(t.responseByCaller, segment.From)
		return
	case len(segment.Data) > 0 && len(t.responseByCaller[segment.From].Data) == 0:
		t.checker.recordRun(t, string(segment.Data))
		reply.FIN = true
		reply.Data = []byte(t.id() + " " + string(segment.Data))
		t.responseByCaller[segment.From] = &reply
		time.AfterFunc(processingTime, func() { t.sendToCaller(reply) })
		return
	case len(segment.Data) > 0:
		reply = *t.responseByCaller[segment.From] // a retransmitted request gets the same response without running again
	default:
		return
	}
	t.sendToCaller(reply)
}

func (t *target) sendToCaller(segment platform.Segment) {
	// Sending may fail when the caller or this target has stopped, which is expected.
	_, _ = t.socket.WriteToUDPAddrPort(segment.Encode(), netip.AddrPortFrom(segment.To.Addr(), callerPort))
}

// callUntilAcknowledged calls the addresses in turn until one responds with 200 OK, and
// reports whether one did.
func callUntilAcknowledged(addresses []string, method, path, body string) bool {
	for _, address := range addresses {
		if status, _ := callHTTP(address, method, path, body); status == http.StatusOK {
			return true
		}
	}
	return false
}

// callHTTP returns the status code and the body of the response, or 0 and "" if there was
// no complete response within callTimeout.
func callHTTP(address, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}
