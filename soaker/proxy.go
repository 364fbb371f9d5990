package soaker

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// link is the state of the way to one instance: what its proxy does to what passes.
type link struct {
	cutIn  atomic.Bool // what is sent to the instance is lost
	cutOut atomic.Bool // what it answers on the same connection is lost
	delay  atomic.Int64
	lossy  atomic.Int64 // of a thousand datagrams
}

func (l *link) heal() {
	l.cutIn.Store(false)
	l.cutOut.Store(false)
	l.delay.Store(0)
	l.lossy.Store(0)
}

// proxy stands before one instance's peer door, for datagrams and connections alike.
type proxy struct {
	link
	to     netip.AddrPort
	udp    *net.UDPConn
	tcp    net.Listener
	dice   func(n int) int
	mu     sync.Mutex
	conns  map[net.Conn]bool
	ways   map[netip.AddrPort]*net.UDPConn // one socket to the instance for each sender
	loops  sync.WaitGroup
	closed bool
}

func newProxy(at, to netip.AddrPort, dice func(n int) int) (*proxy, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp4", at.String())
	if err != nil {
		_ = udp.Close()
		return nil, err
	}
	p := &proxy{to: to, udp: udp, tcp: tcp, dice: dice, conns: make(map[net.Conn]bool), ways: make(map[netip.AddrPort]*net.UDPConn)}
	p.loops.Add(2)
	go p.datagrams()
	go p.accept()
	return p, nil
}

// datagrams passes datagrams on under the sender's own address, so that instances can
// answer each other directly.
func (p *proxy) datagrams() {
	defer p.loops.Done()
	b := make([]byte, 64<<10)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if p.cutIn.Load() || p.dice(1000) < int(p.lossy.Load()) {
			continue
		}
		way := p.way(from)
		if way == nil {
			continue
		}
		// A datagram that cannot be sent is a lost one.
		_, _ = way.WriteToUDPAddrPort(b[:n], p.to)
	}
}

// way returns the socket that stands for a sender, and carries answers back to it.
func (p *proxy) way(from netip.AddrPort) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.ways[from]; c != nil || p.closed {
		return c
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.udp.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), 0)))
	if err != nil {
		return nil
	}
	p.ways[from] = c
	p.loops.Add(1)
	go func() {
		defer p.loops.Done()
		b := make([]byte, 64<<10)
		for {
			n, _, err := c.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			if !p.cutOut.Load() {
				_, _ = p.udp.WriteToUDPAddrPort(b[:n], from) // lost, if it fails
			}
		}
	}()
	return c
}

func (p *proxy) accept() {
	defer p.loops.Done()
	for {
		c, err := p.tcp.Accept()
		if err != nil {
			return
		}
		p.loops.Add(1)
		go p.serve(c)
	}
}

func (p *proxy) serve(in net.Conn) {
	defer p.loops.Done()
	out, err := net.DialTimeout("tcp4", p.to.String(), time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	if !p.track(in, out) {
		return
	}
	p.loops.Add(2)
	go p.copy(out, in, &p.cutIn)
	go p.copy(in, out, &p.cutOut)
}

func (p *proxy) track(conns ...net.Conn) bool {
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

// copy passes bytes on. While the way is cut they are swallowed, and the connection is
// silent from then on: nothing tells its ends.
func (p *proxy) copy(to, from net.Conn, cut *atomic.Bool) {
	defer p.loops.Done()
	silent := false
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			break
		}
		silent = silent || cut.Load()
		if silent {
			continue
		}
		if d := p.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if _, err := to.Write(b[:n]); err != nil {
			break
		}
	}
	p.mu.Lock()
	delete(p.conns, to)
	delete(p.conns, from)
	p.mu.Unlock()
	_ = to.Close()
	_ = from.Close()
}

// reset ends all connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.ways {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.reset()
	_ = p.udp.Close()
	_ = p.tcp.Close()
	p.loops.Wait()
}
