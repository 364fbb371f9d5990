package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a server of a service. Each start of it is a new incarnation.
type server struct {
	d        *deployment
	id       uint64
	service  string
	zone     string
	ip       string
	port     int
	calls    []string // control addresses, in the order in which it tries them; each start begins with the next one
	starts   int
	reported bool // the first acknowledged heartbeat of this incarnation was recorded

	mu       sync.Mutex
	born     int64
	seq      int
	draining bool
	flows    map[string]*serverFlow
	client   *http.Client
	socket   *net.UDPConn
	health   *http.Server
	done     chan struct{}
	beats    sync.WaitGroup
	loops    sync.WaitGroup
	runs     func(id string)
	opened   func(from string) // is called with the client of each flow that is opened
}

type serverFlow struct {
	seq      uint32
	open     bool
	response *packet
}

func (s *server) name() string    { return fmt.Sprintf("i-%08x", s.id) }
func (s *server) address() string { return fmt.Sprintf("%s:%d", s.ip, s.port) }

// start starts an incarnation. It holds and knows nothing of before.
func (s *server) start() error {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(s.ip), Port: s.port})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", s.address())
	if err != nil {
		_ = socket.Close()
		return err
	}
	s.mu.Lock()
	if s.starts++; s.starts > 1 {
		s.calls = append(s.calls[1:len(s.calls):len(s.calls)], s.calls[0])
	}
	s.born, s.seq, s.draining, s.reported = time.Now().UnixMilli(), 0, false, false
	s.flows, s.client, s.socket, s.done = make(map[string]*serverFlow), newClient(), socket, make(chan struct{})
	s.mu.Unlock()
	s.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = s.health.Serve(listener) }()
	s.loops.Add(1)
	s.beats.Add(1)
	go s.receiveLoop(socket)
	go s.heartbeatLoop(s.done)
	s.d.record.printf("server %s starts at %s, service %s, born %d", s.name(), s.address(), s.service, s.born)
	return nil
}

// exit ends the incarnation. Its connections are closed as those of an ended process.
func (s *server) exit() {
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	s.beats.Wait()
	_ = s.socket.Close()
	_ = s.health.Close()
	s.loops.Wait()
	s.client.CloseIdleConnections()
	s.d.record.printf("server %s has ended", s.name())
}

func (s *server) heartbeatLoop(done chan struct{}) {
	defer s.beats.Done()
	for {
		s.heartbeat()
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat to the first control address that acknowledges it.
func (s *server) heartbeat() bool {
	for _, to := range s.calls {
		s.mu.Lock()
		s.seq++
		state := "ready"
		if s.draining {
			state = "draining"
		}
		body, err := json.Marshal(map[string]any{
			"service": s.service, "address": s.address(), "zone": s.zone, "version": "v1", "concurrency": 3, "state": state,
			"warmupLeftMs": 0, "seq": s.seq, "born": s.born,
		})
		first := !s.reported || s.draining
		s.mu.Unlock()
		if err != nil {
			return false
		}
		status, _ := callWith(s.client, http.MethodPut, to, "/api/instances/"+s.name(), string(body), callTimeout)
		if first || status != http.StatusOK {
			s.d.record.printf("server %s: PUT %s to %s: %d", s.name(), body, to, status)
		}
		if status >= 200 && status < 300 {
			s.mu.Lock()
			s.reported = true
			s.mu.Unlock()
			return true
		}
	}
	return false
}

// drain says that the server is draining, until a node acknowledges it.
func (s *server) drain() bool {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for range 5 {
		if s.heartbeat() {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// leave ends the heartbeats, and says that the server ends, to one node after the other until one
// acknowledges it.
func (s *server) leave() bool {
	close(s.done)
	s.beats.Wait()
	for _, to := range s.calls {
		status, _ := callWith(s.client, http.MethodDelete, to, "/api/instances/"+s.name(), "", callTimeout)
		s.d.record.printf("server %s: DELETE to %s: %d", s.name(), to, status)
		if status >= 200 && status < 300 {
			return true
		}
	}
	return false
}

func (s *server) receiveLoop(socket *net.UDPConn) {
	defer s.loops.Done()
	b := make([]byte, 2048)
	for {
		n, _, err := socket.ReadFromUDP(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		intended := binary.BigEndian.Uint64(b)
		if p, ok := decode(b[8:n]); ok && (intended == s.id || intended == 0) {
			s.handle(socket, p)
		}
	}
}

// handle answers one packet: a flow carries one request of one packet, and its response.
func (s *server) handle(socket *net.UDPConn, p packet) {
	key := fmt.Sprint(p.src, p.sport, p.dst, p.dport)
	answer := packet{echo: p.echo, src: p.dst, sport: p.dport, dst: p.src, dport: p.sport, sum: seal, flags: flagACK}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK != 0:
		s.d.record.printf("server %s: a SYN+ACK reached it", s.name())
		return
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &serverFlow{seq: rand.Uint32()}
			s.flows[key] = f
			if s.opened != nil {
				s.opened(fmt.Sprintf("%v:%d", net.IP(p.src[:]), p.sport))
			}
		}
		answer.flags, answer.seq, answer.ack = flagSYN|flagACK, f.seq, p.seq+1
	case f == nil || p.ack != f.seq+1 && !f.open:
		answer.flags, answer.seq = flagRST, p.ack
	case p.flags&(flagFIN|flagRST) != 0:
		delete(s.flows, key)
		return
	case len(p.data) > 0 && f.response == nil:
		f.open = true
		s.d.record.printf("server %s runs %s", s.name(), p.data)
		if s.runs != nil {
			s.runs(string(p.data))
		}
		answer.seq, answer.ack, answer.flags = f.seq+1, p.seq+uint32(len(p.data)), flagACK|flagFIN
		answer.data = []byte("done " + string(p.data))
		f.response = &answer
	case len(p.data) > 0:
		answer = *f.response
	default:
		f.open = true
		return
	}
	_, _ = socket.WriteToUDP(answer.encode(), &net.UDPAddr{IP: net.IP(p.src[:]), Port: s.d.dataPort})
}
