package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	request, service string
	at               time.Time
}

// runs collects the runs of all servers.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// server is a back-end server: it sends heartbeats, accepts flows and answers one request on each.
type server struct {
	d        *deployment
	id       uint64
	service  string
	zone     string
	address  netip.AddrPort
	born     int64
	conn     *net.UDPConn
	runs     *runs
	done     chan struct{}
	loops    sync.WaitGroup
	mu       sync.Mutex
	state    string
	acked    bool // the last heartbeat was acknowledged
	flows    map[string]*serverFlow
	seq      int
	sendFrom int // which machine gets the next heartbeat
}

type serverFlow struct {
	seq  uint32 // of the SYN+ACK
	echo uint32
	open bool
	ran  bool
}

func (d *deployment) newServer(service, zone string, host int, r *runs) (*server, error) {
	address := netip.MustParseAddrPort(fmt.Sprintf("%s:8080", d.address(9, host)))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	s := &server{
		d: d, id: uint64(rand.Uint32()) | 1, service: service, zone: zone, address: address, born: time.Now().UnixMilli(), conn: conn, runs: r,
		done: make(chan struct{}), state: "ready", flows: make(map[string]*serverFlow),
	}
	s.loops.Add(2)
	go s.beat()
	go s.receive()
	return s, nil
}

func (s *server) close() {
	close(s.done)
	s.conn.Close()
	s.loops.Wait()
}

func (s *server) registered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}

// beat sends a heartbeat every heartbeatMs; if one is not acknowledged, to the next machine.
func (s *server) beat() {
	defer s.loops.Done()
	for ticks := time.NewTicker(heartbeatMs * time.Millisecond); ; {
		s.sendHeartbeat()
		select {
		case <-ticks.C:
		case <-s.done:
			ticks.Stop()
			return
		}
	}
}

func (s *server) sendHeartbeat() {
	for range s.d.core {
		s.mu.Lock()
		s.seq++
		body, err := json.Marshal(map[string]any{
			"service": s.service, "address": s.address.String(), "zone": s.zone, "version": "v1", "concurrency": 3, "state": s.state,
			"warmupLeftMs": 0, "seq": s.seq, "born": s.born,
		})
		first := s.seq == 1
		m := s.d.core[s.sendFrom%len(s.d.core)]
		s.mu.Unlock()
		if err != nil {
			panic(err)
		}
		status, _ := s.d.call(m, "PUT", fmt.Sprintf("/api/instances/i-%08x", s.id), body)
		if first || status/100 != 2 {
			s.d.record.printf("server i-%08x (%s, %s at %s): heartbeat to %s: status %d", s.id, s.service, s.zone, s.address, m.name, status)
		}
		s.mu.Lock()
		s.acked = status/100 == 2
		if !s.acked {
			s.sendFrom++
		}
		acked := s.acked
		s.mu.Unlock()
		if acked {
			return
		}
	}
}

// receive handles the packets of clients.
func (s *server) receive() {
	defer s.loops.Done()
	b := make([]byte, 4096)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < identitySize {
			continue
		}
		intended := binary.BigEndian.Uint64(b)
		p, ok := decode(b[identitySize:n])
		if !ok || (intended != 0 && intended != s.id) {
			continue
		}
		if !p.intact() {
			s.d.record.printf("server i-%08x: a packet that its sender did not write so", s.id)
			continue
		}
		s.handle(p)
	}
}

func (s *server) reply(to packet, flags byte, seq, ack, echo uint32, data []byte) {
	p := packet{echo: echo, seq: seq, ack: ack, src: to.dst, dst: to.src, flags: flags, data: data}
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(to.src.Addr(), dataPort))
}

func (s *server) handle(p packet) {
	key := p.src.String() + ">" + p.dst.String()
	f := s.flows[key]
	switch {
	case p.flags&flagRST != 0:
		delete(s.flows, key)
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &serverFlow{seq: rand.Uint32()}
			s.flows[key] = f
		}
		f.echo = p.echo
		s.reply(p, flagSYN|flagACK, f.seq, p.seq+1, f.echo, nil)
	case f == nil || p.ack-f.seq > 1<<16:
		s.reply(p, flagRST, p.ack, 0, p.echo, nil)
	default:
		f.open, f.echo = true, p.echo
		s.handleOpen(p, f)
	}
}

// handleOpen handles a packet of an open flow. A request is one line in one packet.
func (s *server) handleOpen(p packet, f *serverFlow) {
	response := []byte("200 by " + s.service)
	if len(p.data) > 0 {
		if !f.ran {
			f.ran = true
			request := strings.TrimSpace(string(bytes.TrimPrefix(p.data, []byte("GET "))))
			s.runs.add(run{request: request, service: s.service, at: time.Now()})
			s.d.record.printf("server i-%08x (%s): runs request %s", s.id, s.service, request)
		}
		s.reply(p, flagACK|flagFIN, f.seq+1, p.seq+uint32(len(p.data)), f.echo, response)
		return
	}
	if p.flags&flagFIN != 0 {
		s.reply(p, flagACK, f.seq+2+uint32(len(response)), p.seq+1, f.echo, nil)
	}
}
