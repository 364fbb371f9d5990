package soaker

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// networkFaults are the faults that the proxy of one instance injects into its traffic.
type networkFaults struct {
	dropInbound     atomic.Bool  // drop what is sent to the instance
	dropOutbound    atomic.Bool  // drop what it sends back through the proxy
	delay           atomic.Int64 // of each write on a connection, in nanoseconds
	lossPerThousand atomic.Int64 // datagrams to the instance to drop
	silences        atomic.Int64 // how often the open connections were silenced for good
}

// clear ends all faults.
func (f *networkFaults) clear() {
	f.dropInbound.Store(false)
	f.dropOutbound.Store(false)
	f.delay.Store(0)
	f.lossPerThousand.Store(0)
}

// proxy forwards the UDP datagrams and TCP connections to the peer socket of one instance,
// and injects network faults.
type proxy struct {
	networkFaults
	instanceAddress netip.AddrPort // of the peer socket
	udpSocket       *net.UDPConn
	tcpListener     net.Listener
	randomInt       func(n int) int // returns a number in [0, n)
	mu              sync.Mutex
	conns           map[net.Conn]bool
	senderSockets   map[netip.AddrPort]*net.UDPConn // by the address of the sender
	goroutines      sync.WaitGroup
	closed          bool
}

// newProxy starts a proxy from listenAddress to instanceAddress.
func newProxy(listenAddress, instanceAddress netip.AddrPort, randomInt func(n int) int) (*proxy, error) {
	udpSocket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listenAddress))
	if err != nil {
		return nil, err
	}
	tcpListener, err := net.Listen("tcp4", listenAddress.String())
	if err != nil {
		_ = udpSocket.Close()
		return nil, err
	}
	p := &proxy{instanceAddress: instanceAddress, udpSocket: udpSocket, tcpListener: tcpListener, randomInt: randomInt, conns: make(map[net.Conn]bool), senderSockets: make(map[netip.AddrPort]*net.UDPConn)}
	p.goroutines.Add(2)
	go p.forwardDatagrams()
	go p.acceptConnections()
	return p, nil
}

// forwardDatagrams forwards datagrams to the instance. Each sender has its own socket
// towards the instance, so that the replies can be returned to the right sender.
func (p *proxy) forwardDatagrams() {
	defer p.goroutines.Done()
	buffer := make([]byte, 64<<10)
	for {
		n, sender, err := p.udpSocket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p.dropInbound.Load() || p.randomInt(1000) < int(p.lossPerThousand.Load()) {
			continue
		}
		socket := p.senderSocket(sender)
		if socket == nil {
			continue
		}
		// A failed send counts as packet loss.
		_, _ = socket.WriteToUDPAddrPort(buffer[:n], p.instanceAddress)
	}
}

// senderSocket returns the socket on which datagrams of a sender are forwarded to the
// instance. It creates the socket if needed, and starts to forward the replies of the
// instance to the sender. It returns nil if the proxy is closed or the socket cannot be
// opened.
func (p *proxy) senderSocket(sender netip.AddrPort) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.senderSockets[sender]; c != nil || p.closed {
		return c
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.udpSocket.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), 0)))
	if err != nil {
		return nil
	}
	p.senderSockets[sender] = socket
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			if !p.dropOutbound.Load() {
				_, _ = p.udpSocket.WriteToUDPAddrPort(buffer[:n], sender) // a failed send counts as packet loss
			}
		}
	}()
	return socket
}

func (p *proxy) acceptConnections() {
	defer p.goroutines.Done()
	for {
		c, err := p.tcpListener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Add(1)
		go p.serveConnection(c)
	}
}

// serveConnection connects to the instance and forwards bytes in both directions.
func (p *proxy) serveConnection(inbound net.Conn) {
	defer p.goroutines.Done()
	outbound, err := net.DialTimeout("tcp4", p.instanceAddress.String(), time.Second)
	if err != nil {
		_ = inbound.Close()
		return
	}
	if !p.trackConnections(inbound, outbound) {
		return
	}
	p.goroutines.Add(2)
	go p.forwardBytes(outbound, inbound, &p.dropInbound)
	go p.forwardBytes(inbound, outbound, &p.dropOutbound)
}

// trackConnections adds the connections to those that resetConnections closes. If the
// proxy is closed it closes them and returns false.
func (p *proxy) trackConnections(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if p.closed {
			_ = c.Close()
			continue
		}
		p.conns[c] = true
	}
	return !p.closed
}

// forwardBytes forwards bytes of a connection in one direction. If bytes arrive while drop
// is set, or once the connection was silenced, it drops these and all later ones, also after the
// fault has ended, and closes neither end.
func (p *proxy) forwardBytes(destination, source net.Conn, drop *atomic.Bool) {
	defer p.goroutines.Done()
	silent, silences := false, p.silences.Load()
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		if err != nil {
			break
		}
		silent = silent || drop.Load() || p.silences.Load() != silences
		if silent {
			continue
		}
		if d := p.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if _, err := destination.Write(buffer[:n]); err != nil {
			break
		}
	}
	p.mu.Lock()
	delete(p.conns, destination)
	delete(p.conns, source)
	p.mu.Unlock()
	_ = destination.Close()
	_ = source.Close()
}

// resetConnections closes all connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// close stops the proxy, closes its sockets and waits for its goroutines.
func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.senderSockets {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.resetConnections()
	_ = p.udpSocket.Close()
	_ = p.tcpListener.Close()
	p.goroutines.Wait()
}
