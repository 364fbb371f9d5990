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

// InstanceAddresses are the addresses of one instance, each host:port.
type InstanceAddresses struct {
	FlowAddress    string // of the flow socket (UDP)
	StatusAddress  string // serves the readiness check
	RequestAddress string // of the HTTP proxy
}

// Fabric simulates a network fabric: it sends each packet to a random ready instance.
type Fabric struct {
	instances       []InstanceAddresses
	clock           Clock
	socket          *net.UDPConn
	client          *http.Client
	readyInstances  atomic.Pointer[[]InstanceAddresses]
	deliverToCaller func(ip []byte)
	done            chan struct{}
	goroutines      sync.WaitGroup
}

const readinessCheckInterval = 200 * time.Millisecond

// StartFabric starts a fabric in front of instances. It calls deliverToCaller with every IP
// packet that an instance sends to a caller.
func StartFabric(instances []InstanceAddresses, clock Clock, deliverToCaller func(ip []byte)) (*Fabric, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		instances: instances, clock: clock, socket: socket, deliverToCaller: deliverToCaller,
		client: &http.Client{Timeout: readinessCheckInterval * 5}, done: make(chan struct{}),
	}
	f.readyInstances.Store(&[]InstanceAddresses{})
	f.goroutines.Add(2)
	go f.receivePackets()
	go f.checkReadinessPeriodically()
	return f, nil
}

// Close stops the fabric.
func (f *Fabric) Close() error {
	close(f.done)
	err := f.socket.Close()
	f.goroutines.Wait()
	f.client.CloseIdleConnections()
	return err
}

// ReadyInstances returns the instances that passed the last readiness check.
func (f *Fabric) ReadyInstances() []InstanceAddresses {
	return *f.readyInstances.Load()
}

// SprayPacket sends a packet to a random ready instance. It drops the packet if there is
// none.
func (f *Fabric) SprayPacket(genevePacket []byte) {
	instances := f.ReadyInstances()
	if len(instances) == 0 {
		return
	}
	address, err := net.ResolveUDPAddr("udp", instances[rand.IntN(len(instances))].FlowAddress)
	if err != nil {
		return
	}
	_, _ = f.socket.WriteToUDP(genevePacket, address) // the caller retransmits lost packets
}

func (f *Fabric) receivePackets() {
	defer f.goroutines.Done()
	buffer := make([]byte, 64<<10)
	for {
		n, err := f.socket.Read(buffer)
		if err != nil {
			return
		}
		packet, fault := parser.ParseGeneve(buffer[:n])
		if fault == parser.FaultNone && !packet.Control {
			f.deliverToCaller(append([]byte(nil), packet.Payload...))
		}
	}
}

func (f *Fabric) checkReadinessPeriodically() {
	defer f.goroutines.Done()
	ticks, stop := f.clock.Ticker(readinessCheckInterval)
	defer stop()
	for {
		f.checkReadiness()
		select {
		case <-f.done:
			return
		case <-ticks:
		}
	}
}

func (f *Fabric) checkReadiness() {
	ready := make([]bool, len(f.instances))
	var checks sync.WaitGroup
	for i, instance := range f.instances {
		checks.Add(1)
		go func() {
			defer checks.Done()
			response, err := f.client.Get("http://" + instance.StatusAddress + "/readyz")
			if err != nil {
				return
			}
			response.Body.Close()
			ready[i] = response.StatusCode == http.StatusOK
		}()
	}
	checks.Wait()
	var readyInstances []InstanceAddresses
	for i, instance := range f.instances {
		if ready[i] {
			readyInstances = append(readyInstances, instance)
		}
	}
	f.readyInstances.Store(&readyInstances)
}
