package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// synTimes are the times at which a client sends its SYN and the copies, and when it gives up.
var synTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// client opens a flow for each request, each from a new port.
type client struct {
	d       *deployment
	zone    string
	ip      netip.Addr
	conn    *net.UDPConn
	mu      sync.Mutex
	port    uint16
	replies map[uint16]chan packet
	loop    sync.WaitGroup
}

func (d *deployment) newClient(zone string, host int) (*client, error) {
	ip := netip.MustParseAddr(d.address(5, host))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, dataPort)))
	if err != nil {
		return nil, err
	}
	c := &client{d: d, zone: zone, ip: ip, conn: conn, port: 20000, replies: make(map[uint16]chan packet)}
	c.loop.Add(1)
	go c.receive()
	return c, nil
}

func (c *client) close() {
	c.conn.Close()
	c.loop.Wait()
}

func (c *client) receive() {
	defer c.loop.Done()
	b := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		replies := c.replies[p.dst.Port()]
		c.mu.Unlock()
		select {
		case replies <- p: // never ready if the flow has ended
		default:
		}
	}
}

func (c *client) send(p packet) {
	node := c.d.route(c.zone, p)
	if node == "" {
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(netip.MustParseAddr(node), dataPort))
}

// request sends one request on a flow of its own. It returns the response, "reset" or "no answer".
func (c *client) request(id string, to netip.AddrPort) string {
	c.mu.Lock()
	c.port++
	port := c.port
	replies := make(chan packet, 64)
	c.replies[port] = replies
	c.mu.Unlock()
	c.d.record.printf("client: sends request %s to %s", id, to)
	answer := c.exchange(id, netip.AddrPortFrom(c.ip, port), to, replies)
	c.mu.Lock()
	delete(c.replies, port)
	c.mu.Unlock()
	c.d.record.printf("client: request %s: %s", id, answer)
	return answer
}

func (c *client) exchange(id string, from, to netip.AddrPort, replies chan packet) string {
	seq := rand.Uint32()
	start := time.Now()
	var accepted packet
opening:
	for n := 0; ; n++ {
		if n == len(synTimes)-1 {
			return "no answer to its SYN"
		}
		c.send(packet{seq: seq, ack: uint32(n), src: from, dst: to, flags: flagSYN})
		next := time.After(time.Until(start.Add(synTimes[n+1])))
		for {
			select {
			case p := <-replies:
				if p.flags&flagRST != 0 {
					return "reset"
				}
				if p.flags&flagSYN != 0 && p.intact() {
					accepted = p
					break opening
				}
				continue
			case <-next:
			}
			break
		}
	}
	data := []byte("GET " + id + "\n")
	for wait := 200 * time.Millisecond; time.Since(start) < 3*time.Second; wait *= 2 {
		c.send(packet{echo: accepted.echo, seq: seq + 1, ack: accepted.seq + 1, src: from, dst: to, flags: flagACK, data: data})
		deadline := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-replies:
				switch {
				case p.flags&flagRST != 0:
					return "reset on an open flow"
				case len(p.data) > 0 && p.intact():
					c.send(packet{echo: p.echo, seq: seq + 1 + uint32(len(data)), ack: p.seq + uint32(len(p.data)) + 1, src: from, dst: to, flags: flagACK | flagFIN})
					return fmt.Sprintf("%q", p.data)
				}
			case <-deadline:
				waiting = false
			}
		}
	}
	return "no answer"
}
