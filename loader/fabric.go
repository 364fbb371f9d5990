package loader

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"almondpick/parser"
)

// Entry is an instance as the fabric knows it.
type InstanceAddresses struct {
	FlowAddress    string // UDP address of the flow door
	StatusAddress  string // status address, asked for readiness
	RequestAddress string // request door
}

// Fabric sprays every packet over the instances that are ready, at random.
type Fabric struct {
	entries []InstanceAddresses
	clock   Clock
	conn    *net.UDPConn
	client  *http.Client
	healthy atomic.Pointer[[]InstanceAddresses]
	deliver func(ip []byte)
	done    chan struct{}
	loops   sync.WaitGroup
}

const healthEvery = 200 * time.Millisecond

// NewFabric starts a fabric over instances. deliver is called with every packet that
// an instance sends back to a caller.
func StartFabric(entries []InstanceAddresses, clock Clock, deliver func(ip []byte)) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		entries: entries, clock: clock, conn: conn, deliver: deliver,
		client: &http.Client{Timeout: healthEvery * 5}, done: make(chan struct{}),
	}
	f.healthy.Store(&[]InstanceAddresses{})
	f.loops.Add(2)
	go f.receive()
	go f.check()
	return f, nil
}

// Close stops the fabric.
func (f *Fabric) Close() error {
	close(f.done)
	err := f.conn.Close()
	f.loops.Wait()
	f.client.CloseIdleConnections()
	return err
}

// Healthy returns the instances that take traffic.
func (f *Fabric) ReadyInstances() []InstanceAddresses {
	return *f.healthy.Load()
}

// Spray hands a packet to some instance.
func (f *Fabric) SprayPacket(geneve []byte) {
	list := f.ReadyInstances()
	if len(list) == 0 {
		return
	}
	to, err := net.ResolveUDPAddr("udp", list[rand.IntN(len(list))].FlowAddress)
	if err != nil {
		return
	}
	_, _ = f.conn.WriteToUDP(geneve, to) // a lost packet is sent again by its caller
}

func (f *Fabric) receive() {
	defer f.loops.Done()
	b := make([]byte, 64<<10)
	for {
		n, err := f.conn.Read(b)
		if err != nil {
			return
		}
		g, fault := parser.ParseGeneve(b[:n])
		if fault == parser.FaultNone && !g.Control {
			f.deliver(append([]byte(nil), g.Payload...))
		}
	}
}

func (f *Fabric) check() {
	defer f.loops.Done()
	ticks, stop := f.clock.Ticker(healthEvery)
	defer stop()
	for {
		f.checkOnce()
		select {
		case <-f.done:
			return
		case <-ticks:
		}
	}
}

func (f *Fabric) checkOnce() {
	ready := make([]bool, len(f.entries))
	var all sync.WaitGroup
	for i, e := range f.entries {
		all.Add(1)
		go func() {
			defer all.Done()
			response, err := f.client.Get("http://" + e.StatusAddress + "/readyz")
			if err != nil {
				return
			}
			response.Body.Close()
			ready[i] = response.StatusCode == http.StatusOK
		}()
	}
	all.Wait()
	var list []InstanceAddresses
	for i, e := range f.entries {
		if ready[i] {
			list = append(list, e)
		}
	}
	f.healthy.Store(&list)
}
