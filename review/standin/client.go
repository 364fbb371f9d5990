package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// client sends requests, each on a flow of its own.
type client struct {
	d      *deployment
	ip     string
	socket *net.UDPConn

	mu      sync.Mutex
	port    uint16
	waiting map[uint16]chan packet
}

func newClientEnd(d *deployment, n int) (*client, error) {
	c := &client{d: d, ip: d.address(9, n), port: 1024, waiting: make(map[uint16]chan packet)}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(c.ip), Port: d.dataPort})
	if err != nil {
		return nil, err
	}
	c.socket = socket
	go c.receiveLoop()
	return c, nil
}

func (c *client) receiveLoop() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.socket.ReadFromUDP(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		w := c.waiting[p.dport]
		c.mu.Unlock()
		select {
		case w <- p:
		default:
		}
	}
}

// send passes a packet to the routers.
func (c *client) send(p packet) {
	h := fnv.New32a()
	fmt.Fprint(h, p.src, p.sport, p.dst, p.dport)
	if to := c.d.frontOf(h.Sum32()); to != nil {
		_, _ = c.socket.WriteToUDP(p.encode(), to)
	}
}

// request makes one attempt and returns how it ended: "served", "refused" or "no answer".
func (c *client) request(id string, r route, deadline time.Duration) string {
	c.mu.Lock()
	c.port++
	if c.port < 1024 {
		c.port = 1024
	}
	port, replies := c.port, make(chan packet, 64)
	c.waiting[port] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, port)
		c.mu.Unlock()
	}()
	p := packet{src: ip4(c.ip), sport: port, dst: ip4(r.host), dport: uint16(r.port), sum: seal, seq: rand.Uint32(), flags: flagSYN}
	end := time.After(deadline)
	accepted, outcome := c.open(p, replies, end)
	if outcome != "" {
		return outcome
	}
	p.echo, p.seq, p.ack, p.flags, p.data = accepted.echo, p.seq+1, accepted.seq+1, flagACK, []byte(id)
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		c.send(p)
		next := time.After(wait)
		for again := true; again; {
			select {
			case reply := <-replies:
				switch {
				case reply.flags&flagRST != 0 && (reply.seq-p.ack)+76800 < 2*76800:
					return "reset"
				case string(reply.data) == "done "+id:
					p.echo, p.seq, p.ack, p.flags, p.data = reply.echo, p.seq+uint32(len(id)), reply.seq+uint32(len(reply.data))+1, flagACK|flagFIN, nil
					c.send(p)
					return "served"
				}
			case <-next:
				again = false
			case <-end:
				return "no answer"
			}
		}
	}
}

// open sends the SYN and its two copies and returns the SYN+ACK, or how the attempt ended.
func (c *client) open(p packet, replies chan packet, end <-chan time.Time) (packet, string) {
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		p.ack = uint32(copies)
		c.send(p)
		select {
		case reply := <-replies:
			if reply.flags&flagRST != 0 {
				return reply, "refused"
			}
			return reply, ""
		case <-time.After(wait):
		case <-end:
			return packet{}, "no answer"
		}
	}
	return packet{}, "no answer"
}

// tally counts the requests of a phase.
type tally struct {
	asked, served int
	ends          map[string]int
}

// load sends requests at a steady rate for some time and counts how they ended. Requests are
// safe: a failed one is tried twice more, as long as its deadline allows.
func (d *deployment) load(clients []*client, phase string, r route, perSecond int, length time.Duration) tally {
	const deadline = 1500 * time.Millisecond
	t := tally{ends: make(map[string]int)}
	var mu sync.Mutex
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n, stop := 0, time.Now().Add(length); time.Now().Before(stop); n++ {
		<-ticker.C
		wait.Add(1)
		go func() {
			defer wait.Done()
			outcome, until := "", time.Now().Add(deadline)
			for try := 0; try < 3 && outcome != "served" && time.Until(until) > 0; try++ {
				id := fmt.Sprintf("%s-%d-%d", phase, n, try)
				outcome = clients[n%len(clients)].request(id, r, time.Until(until))
				d.record.printf("client: request %s: %s", id, outcome)
				if outcome != "served" {
					time.Sleep(50 * time.Millisecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			t.asked++
			t.ends[outcome]++
			if outcome == "served" {
				t.served++
			}
		}()
	}
	wait.Wait()
	return t
}

// share returns which share of the requests was served.
func (t tally) share() float64 { return float64(t.served) / float64(max(t.asked, 1)) }
