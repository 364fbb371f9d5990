package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// oneWay is the delay of a link between zones.
const oneWay = 900 * time.Microsecond

// link carries the TCP connections of servers to one control address. While it is cut, bytes are
// held up; they arrive once it is joined again, as over a network that was partitioned. The end of
// a stream arrives a round trip after its last bytes: TCP sends it again only after these have been
// acknowledged.
type link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	joined   chan struct{} // closed while the link is joined
}

func newLink(ip, to string) (*link, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, joined: make(chan struct{})}
	close(k.joined)
	go k.acceptLoop()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.joined = make(chan struct{})
}

func (k *link) join() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.joined)
}

func (k *link) wait() {
	k.mu.Lock()
	joined := k.joined
	k.mu.Unlock()
	<-joined
}

func (k *link) acceptLoop() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			k.wait() // a connection that is opened during the cut is established after it
			far, err := net.DialTimeout("tcp4", k.to, time.Second)
			if err != nil {
				_ = near.Close()
				return
			}
			go k.copy(far, near)
			k.copy(near, far)
		}()
	}
}

// copy carries bytes one way, and then the end of the stream.
func (k *link) copy(to, from net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		k.wait()
		time.Sleep(oneWay)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	time.Sleep(2 * oneWay)
	if c, ok := to.(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, from)
}
