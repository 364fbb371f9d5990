package soaker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 300 * time.Millisecond
	callLimit  = time.Second
	workTime   = 20 * time.Millisecond
	openLimit  = 1400 * time.Millisecond
	requestEnd = 4 * time.Second
)

// target is a back end: it announces itself, takes flows in and answers one request on
// each. It runs nothing of almondpick.
type target struct {
	identity uint64
	pool     string
	zone     string
	born     int64
	conn     *net.UDPConn
	at       netip.AddrPort
	stores   func() []string
	ledger   *ledger

	mu       sync.Mutex
	seq      int
	draining bool
	leftAt   time.Time // acknowledgement of the word that it leaves
	home     string
	flows    map[netip.AddrPort]*packet // by caller: the answer, empty until it has run
	done     chan struct{}
	loops    sync.WaitGroup
}

func startTarget(identity uint64, pool, zone string, at netip.AddrPort, stores func() []string, l *ledger) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	t := &target{
		identity: identity, pool: pool, zone: zone, born: time.Now().UnixMilli(), conn: conn, at: at, stores: stores,
		ledger: l, flows: make(map[netip.AddrPort]*packet), done: make(chan struct{}),
	}
	t.loops.Add(2)
	go t.announce()
	go t.serve()
	return t, nil
}

func (t *target) id() string { return fmt.Sprintf("i-%010x", t.identity) }

// announce sends heartbeats until the target ends.
func (t *target) announce() {
	defer t.loops.Done()
	for {
		t.beat()
		select {
		case <-t.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (t *target) beat() {
	t.mu.Lock()
	t.seq++
	draining, state := t.draining, "ready"
	if draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","concurrency":4,"state":%q,"warmupLeftMs":0,"seq":%d,"born":%d}`,
		t.pool, t.at, t.zone, state, t.seq, t.born)
	t.mu.Unlock()
	acked := callAny(t.stores(), http.MethodPut, "/api/instances/"+t.id(), body)
	if draining && acked {
		t.mu.Lock()
		if t.leftAt.IsZero() {
			t.leftAt = time.Now()
		}
		t.mu.Unlock()
	}
}

// drain makes the target say that it leaves.
func (t *target) drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.beat()
}

// end stops the target; quietly, it says nothing of it.
func (t *target) end(quietly bool) {
	close(t.done)
	_ = t.conn.Close()
	t.loops.Wait()
	if !quietly {
		callAny(t.stores(), http.MethodDelete, "/api/instances/"+t.id(), "")
	}
}

func (t *target) serve() {
	defer t.loops.Done()
	b := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixSize {
			continue
		}
		identity := uint64(0)
		for _, c := range b[:prefixSize] {
			identity = identity<<8 | uint64(c)
		}
		if p, ok := decode(b[prefixSize:n]); ok && identity == t.identity {
			p.data = append([]byte(nil), p.data...)
			t.take(p)
		}
	}
}

// take does what a target does with a packet of a caller.
func (t *target) take(p packet) {
	answer := packet{label: p.label, src: p.dst, dst: p.src, seq: uint32(t.identity), ack: p.seq + 1}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case p.flags&flagSYN != 0:
		if t.flows[p.src] == nil {
			t.ledger.opened(t, p)
			t.flows[p.src] = &packet{}
		}
		answer.flags = flagSYN | flagACK
	case t.flows[p.src] == nil:
		answer.flags = flagRST
	case p.flags&(flagFIN|flagRST) != 0:
		delete(t.flows, p.src)
		return
	case len(p.data) > 0 && len(t.flows[p.src].data) == 0:
		t.ledger.ran(t, string(p.data))
		answer.flags = flagACK | flagFIN
		answer.data = []byte(t.id() + " " + string(p.data))
		t.flows[p.src] = &answer
		time.AfterFunc(workTime, func() { t.send(answer) })
		return
	case len(p.data) > 0:
		answer = *t.flows[p.src] // sent again, not run again
	default:
		return
	}
	t.send(answer)
}

func (t *target) send(p packet) {
	// The caller may have gone, or the target ended; both are part of the play.
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), callerPort))
}

// callAny calls the addresses in turn until one acknowledges.
func callAny(addresses []string, method, path, body string) bool {
	for _, at := range addresses {
		if status, _ := call(at, method, path, body); status == http.StatusOK {
			return true
		}
	}
	return false
}

// call returns the status of a call, 0 where there was no answer, and its body.
func call(at, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(b)
}
