package soaker

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"almondpick/platform"
)

// fabric simulates the routers of the platform: it probes the readiness of the forwarding
// instances and sends packets only to those in rotation.
type fabric struct {
	mu             sync.Mutex
	instances      []*instance
	readyAddresses []netip.AddrPort // flow addresses of the instances in rotation
	failedProbes   map[string]int   // number of consecutive failed probes, by instance name
}

const (
	probeInterval      = 500 * time.Millisecond
	unhealthyThreshold = 2 // consecutive failed probes that take an instance out of rotation
)

// probeInstances probes all instances once and updates the rotation.
func (f *fabric) probeInstances() {
	var readyAddresses []netip.AddrPort
	for _, i := range f.instances {
		status, _ := callHTTP(i.readyAddress(), http.MethodGet, platform.ReadyPath, "")
		f.failedProbes[i.name]++
		if status == http.StatusOK {
			f.failedProbes[i.name] = 0
		}
		if f.failedProbes[i.name] < unhealthyThreshold {
			readyAddresses = append(readyAddresses, i.flowAddress())
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readyAddresses = readyAddresses
}

// instanceForFlow returns the flow address of the instance that the flow hashes to, and
// false if none is in rotation.
func (f *fabric) instanceForFlow(source, destination netip.AddrPort) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.readyAddresses) == 0 {
		return netip.AddrPort{}, false
	}
	flowHash := fnv.New32a()
	fmt.Fprint(flowHash, source, destination)
	return f.readyAddresses[int(flowHash.Sum32())%len(f.readyAddresses)], true
}

// randomInstance returns the flow address of a random instance in rotation, and false if
// there is none.
func (f *fabric) randomInstance() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.readyAddresses) == 0 {
		return netip.AddrPort{}, false
	}
	return f.readyAddresses[rand.IntN(len(f.readyAddresses))], true
}

// caller is a simulated caller. It opens flows from one IP address.
type caller struct {
	socket        *net.UDPConn
	ip            netip.Addr
	fabric        *fabric
	checker       *checker
	mu            sync.Mutex
	lastPort      uint16
	repliesByPort map[uint16]chan platform.Segment // by the source port of the flow
	receiver      sync.WaitGroup
}

// startCaller starts a caller with the given address.
func startCaller(ip netip.Addr, f *fabric, ch *checker) (*caller, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, callerPort)))
	if err != nil {
		return nil, err
	}
	c := &caller{socket: socket, ip: ip, fabric: f, checker: ch, lastPort: 1024, repliesByPort: make(map[uint16]chan platform.Segment)}
	c.receiver.Add(1)
	go c.receiveReplies()
	return c, nil
}

func (c *caller) close() {
	_ = c.socket.Close()
	c.receiver.Wait()
}

// receiveReplies passes each segment on to the flow with its destination port.
func (c *caller) receiveReplies() {
	defer c.receiver.Done()
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		segment, err := platform.DecodeSegment(buffer[:n])
		if err != nil {
			continue
		}
		segment.Data = append([]byte(nil), segment.Data...)
		c.mu.Lock()
		replies := c.repliesByPort[segment.To.Port()]
		c.mu.Unlock()
		select {
		case replies <- segment: // a nil channel is never ready, so the segment of an unknown flow is dropped
		default:
		}
	}
}

// flowOutcome is the outcome of a flow with one request, as the caller observes it.
type flowOutcome struct {
	opened   bool
	refused  bool   // reset before it opened
	response string // empty if none came
}

// sendRequest opens a flow from a new source port, sends one request and waits for the
// response.
func (c *caller) sendRequest(request string, destination netip.AddrPort) flowOutcome {
	c.mu.Lock()
	c.lastPort++
	if c.lastPort < 1024 {
		c.lastPort = 1024
	}
	source := netip.AddrPortFrom(c.ip, c.lastPort)
	replies := make(chan platform.Segment, 16)
	c.repliesByPort[source.Port()] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.repliesByPort, source.Port())
		c.mu.Unlock()
	}()
	accepted, outcome := c.openFlow(source, destination, replies)
	if outcome.opened {
		c.exchangeRequest(request, accepted, &outcome, replies)
	}
	return outcome
}

// openFlow sends the opening segment, with retransmissions after timeouts, and returns
// the first reply.
func (c *caller) openFlow(source, destination netip.AddrPort, replies chan platform.Segment) (platform.Segment, flowOutcome) {
	c.checker.recordFlowSent(source)
	timeouts := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, openTimeout - 600*time.Millisecond}
	for retransmissions, timeout := range timeouts {
		// In a SYN, Ack is the number of SYNs sent before it.
		syn := platform.Segment{From: source, To: destination, SYN: true, Seq: 1, Ack: uint32(retransmissions)}
		if address, ok := c.fabric.instanceForFlow(source, destination); ok {
			_, _ = c.socket.WriteToUDPAddrPort(syn.Encode(), address) // a failed send counts as packet loss
		}
		select {
		case reply := <-replies:
			return reply, flowOutcome{opened: reply.SYN, refused: reply.RST}
		case <-time.After(timeout):
		}
	}
	return platform.Segment{}, flowOutcome{}
}

// exchangeRequest sends a request on an open flow, with retransmissions through random
// instances, until a response, a reset or requestTimeout. It stores the response in
// outcome.
func (c *caller) exchangeRequest(request string, accepted platform.Segment, outcome *flowOutcome, replies chan platform.Segment) {
	startedAt := time.Now()
	segment := platform.Segment{Label: accepted.Label, From: accepted.To, To: accepted.From, Seq: 2, Ack: accepted.Seq + 1, Data: []byte(request)}
	for timeout := 200 * time.Millisecond; time.Since(startedAt) < requestTimeout; timeout = min(2*timeout, 1600*time.Millisecond) {
		if address, ok := c.fabric.randomInstance(); ok {
			_, _ = c.socket.WriteToUDPAddrPort(segment.Encode(), address) // a failed send counts as packet loss
		}
		select {
		case reply := <-replies:
			if reply.RST {
				if reply.Seq != accepted.Label { // the target's own resets have its label as Seq
					c.checker.checkFlowReset(request, startedAt)
				}
				return
			}
			if len(reply.Data) == 0 {
				continue
			}
			outcome.response = string(reply.Data)
			segment.FIN, segment.Data = true, nil
			if address, ok := c.fabric.randomInstance(); ok {
				_, _ = c.socket.WriteToUDPAddrPort(segment.Encode(), address)
			}
			return
		case <-time.After(timeout):
		}
	}
}
