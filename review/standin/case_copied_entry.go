package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// copiedEntry has another writer repeat the entry of one server, as it was when the server was ready, with
// fields missing and a counter of its own. Then the server drains, and its flows are counted that
// are opened too late.
func copiedEntry(e *environment) int {
	const (
		perSecond  = 40
		serveOn    = 12 * time.Second // after the acknowledgement, before the server leaves
		firstCount = 1000             // of the other writer
	)
	d, servers, clients, r, code := startSmall(e, "photovault", 4)
	if code != held {
		return code
	}
	defer d.close()
	defer exitAll(servers)
	s := servers[0]
	var acknowledgedAt atomic.Int64
	var late atomic.Int64
	s.opened = func(from string) {
		at := acknowledgedAt.Load()
		if at == 0 {
			return
		}
		if after := time.Duration(time.Now().UnixNano() - at); after > drainTime {
			late.Add(1)
			e.record.printf("server %s takes the opening packet of a flow of %s, %v after its acknowledgement", s.name(), from, after)
		}
	}
	stop := make(chan struct{})
	var writer sync.WaitGroup
	defer writer.Wait()
	defer close(stop)
	if e.trouble {
		writer.Add(1)
		go func() {
			defer writer.Done()
			for count := firstCount; ; count++ {
				body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","concurrency":3,"state":"ready","seq":%d,"born":%d}`, r.service, s.address(), count, s.born)
				status, _ := call(http.MethodPut, d.controlAddresses()[1], "/api/instances/"+s.name(), body, callTimeout)
				e.record.printf("another writer: PUT %s: %d", body, status)
				select {
				case <-stop:
					return
				case <-time.After(heartbeatInterval):
				}
			}
		}()
	}
	var t tally
	var load sync.WaitGroup
	load.Add(1)
	go func() {
		defer load.Done()
		t = d.load(clients, "request", r, perSecond, 20*time.Second)
	}()
	time.Sleep(4 * time.Second)
	if !s.drain() {
		return e.fail("the server got no acknowledgement")
	}
	acknowledgedAt.Store(time.Now().UnixNano())
	e.record.say("server %s is draining, acknowledged", s.name())
	time.Sleep(serveOn)
	load.Wait()
	e.record.say("%d requests, %d served; %d flows were opened at the server later than drainMs after its acknowledgement", t.asked, t.served, late.Load())
	if late.Load() > 0 {
		e.record.say("DRAIN is broken")
		return broken
	}
	return held
}
