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

const (
	slots      = 4 // of a target
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
	seq      uint64
	draining bool
	leftAt   time.Time                            // acknowledgement of the word that it leaves
	flows    map[netip.AddrPort]*platform.Segment // by caller: the answer, empty until it has run
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
		ledger: l, flows: make(map[netip.AddrPort]*platform.Segment), done: make(chan struct{}),
	}
	t.loops.Add(2)
	go t.announce()
	go t.serve()
	return t, nil
}

func (t *target) id() string { return platform.TargetID(t.identity) }

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
	draining, state := t.draining, announcer.Serving
	if draining {
		state = announcer.Draining
	}
	body, err := platform.EncodeHeartbeat(announcer.Announcement{
		Endpoint: t.at, Job: t.pool, DataCentre: t.zone, Slots: slots, State: state, Sequence: t.seq, Incarnation: uint64(t.born),
	})
	t.mu.Unlock()
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	acked := callAny(t.stores(), http.MethodPut, platform.TargetPath(t.identity), string(body))
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
		callAny(t.stores(), http.MethodDelete, platform.TargetPath(t.identity), "")
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
		identity, p, err := platform.DecodeTargetDatagram(b[:n])
		if err == nil && identity == t.identity {
			p.Data = append([]byte(nil), p.Data...)
			t.take(p)
		}
	}
}

// take does what a target does with a packet of a caller.
func (t *target) take(p platform.Segment) {
	answer := platform.Segment{Label: p.Label, From: p.To, To: p.From, Seq: uint32(t.identity), Ack: p.Seq + 1}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case p.SYN:
		if t.flows[p.From] == nil {
			t.ledger.opened(t, p)
			t.flows[p.From] = &platform.Segment{}
		}
		answer.SYN, answer.SYNACK = true, true
	case t.flows[p.From] == nil:
		answer.RST = true
	case p.FIN || p.RST:
		delete(t.flows, p.From)
		return
	case len(p.Data) > 0 && len(t.flows[p.From].Data) == 0:
		t.ledger.ran(t, string(p.Data))
		answer.FIN = true
		answer.Data = []byte(t.id() + " " + string(p.Data))
		t.flows[p.From] = &answer
		time.AfterFunc(workTime, func() { t.send(answer) })
		return
	case len(p.Data) > 0:
		answer = *t.flows[p.From] // sent again, not run again
	default:
		return
	}
	t.send(answer)
}

func (t *target) send(p platform.Segment) {
	// The caller may have gone, or the target ended; both are part of the play.
	_, _ = t.conn.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(p.To.Addr(), callerPort))
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
