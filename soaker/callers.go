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

// fabric knows which entries are in rotation, as the platform's routers do.
type fabric struct {
	mu    sync.Mutex
	all   []*instance
	ready []netip.AddrPort
	miss  map[string]int
}

const (
	probeEvery = 500 * time.Millisecond
	missLimit  = 2
)

// probe asks every entry whether it is ready.
func (f *fabric) probe() {
	var ready []netip.AddrPort
	for _, i := range f.all {
		status, _ := call(i.probeAddress(), http.MethodGet, platform.ReadyPath, "")
		f.miss[i.name]++
		if status == http.StatusOK {
			f.miss[i.name] = 0
		}
		if f.miss[i.name] < missLimit {
			ready = append(ready, i.flowAddress())
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = ready
}

// pick returns the entry that gets a packet of a flow.
func (f *fabric) pick(src, dst netip.AddrPort) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ready) == 0 {
		return netip.AddrPort{}, false
	}
	h := fnv.New32a()
	fmt.Fprint(h, src, dst)
	return f.ready[int(h.Sum32())%len(f.ready)], true
}

// any returns any entry in rotation.
func (f *fabric) any() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ready) == 0 {
		return netip.AddrPort{}, false
	}
	return f.ready[rand.IntN(len(f.ready))], true
}

// caller is one address that opens flows.
type caller struct {
	conn   *net.UDPConn
	ip     netip.Addr
	fabric *fabric
	ledger *ledger
	mu     sync.Mutex
	port   uint16
	flows  map[uint16]chan platform.Segment
	done   sync.WaitGroup
}

func startCaller(ip netip.Addr, f *fabric, l *ledger) (*caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, callerPort)))
	if err != nil {
		return nil, err
	}
	c := &caller{conn: conn, ip: ip, fabric: f, ledger: l, port: 1024, flows: make(map[uint16]chan platform.Segment)}
	c.done.Add(1)
	go c.receive()
	return c, nil
}

func (c *caller) close() {
	_ = c.conn.Close()
	c.done.Wait()
}

func (c *caller) receive() {
	defer c.done.Done()
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, err := platform.DecodeSegment(b[:n])
		if err != nil {
			continue
		}
		p.Data = append([]byte(nil), p.Data...)
		c.mu.Lock()
		box := c.flows[p.To.Port()]
		c.mu.Unlock()
		select {
		case box <- p: // a nil box blocks, and the packet is left out
		default:
		}
	}
}

// flowEnd says how a flow ended for its caller.
type flowEnd struct {
	opened  bool
	refused bool // reset before it opened
	answer  string
}

// request opens a flow, asks one thing and waits for the answer.
func (c *caller) request(name string, to netip.AddrPort) flowEnd {
	c.mu.Lock()
	c.port++
	if c.port < 1024 {
		c.port = 1024
	}
	src := netip.AddrPortFrom(c.ip, c.port)
	box := make(chan platform.Segment, 16)
	c.flows[src.Port()] = box
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, src.Port())
		c.mu.Unlock()
	}()
	first, end := c.open(src, to, box)
	if end.opened {
		c.ask(name, first, &end, box)
	}
	return end
}

// open sends the opening packet and its copies.
func (c *caller) open(src, to netip.AddrPort, box chan platform.Segment) (platform.Segment, flowEnd) {
	waits := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, openLimit - 600*time.Millisecond}
	for copies, wait := range waits {
		syn := platform.Segment{From: src, To: to, SYN: true, Seq: 1, Ack: uint32(copies)}
		if at, ok := c.fabric.pick(src, to); ok {
			_, _ = c.conn.WriteToUDPAddrPort(syn.Encode(), at) // lost, if it fails
		}
		select {
		case p := <-box:
			return p, flowEnd{opened: p.SYN, refused: p.RST}
		case <-time.After(wait):
		}
	}
	return platform.Segment{}, flowEnd{}
}

// ask sends the request on an open flow, through any entry, until the answer comes.
func (c *caller) ask(name string, first platform.Segment, end *flowEnd, box chan platform.Segment) {
	began := time.Now()
	p := platform.Segment{Label: first.Label, From: first.To, To: first.From, Seq: 2, Ack: first.Seq + 1, Data: []byte(name)}
	for wait := 200 * time.Millisecond; time.Since(began) < requestEnd; wait = min(2*wait, 1600*time.Millisecond) {
		if at, ok := c.fabric.any(); ok {
			_, _ = c.conn.WriteToUDPAddrPort(p.Encode(), at) // lost, if it fails
		}
		select {
		case got := <-box:
			if got.RST {
				if got.Seq != first.Label { // not the target's own
					c.ledger.cutShort(name, began)
				}
				return
			}
			if len(got.Data) == 0 {
				continue
			}
			end.answer = string(got.Data)
			p.FIN, p.Data = true, nil
			if at, ok := c.fabric.any(); ok {
				_, _ = c.conn.WriteToUDPAddrPort(p.Encode(), at)
			}
			return
		case <-time.After(wait):
		}
	}
}
