package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// missingFields has another writer send heartbeats, with fields missing, under the ids and addresses of
// the servers of one service, for another service. Clients send requests to that other service.
func missingFields(e *environment) int {
	const perSecond = 20
	d, err := newDeployment(e.record, e.root, e.folder, 3, 2)
	if err != nil {
		return e.fail("%v", err)
	}
	defer d.close()
	r := route{host: "198.18.0.1", port: 8443, service: "photovault"}
	servers, clients, err := d.startWith(r, 2, d.controlAddresses())
	if err != nil {
		return e.fail("%v", err)
	}
	defer func() { exitAll(servers) }()
	other := route{host: "198.18.0.1", port: 8080, service: "crewdesk"}
	if !d.putConfig(9, []route{r, other}, startTime) {
		return e.fail("the second configuration was not acknowledged")
	}
	var foreign atomic.Int64
	for i := range 2 {
		s := &server{d: d, id: 0x6b2d0010 + uint64(i), service: other.service, zone: "b", ip: d.address(6, i+1), port: d.dataPort + 3, calls: d.controlAddresses()}
		s.runs = func(id string) {
			if strings.HasPrefix(id, "photo") {
				foreign.Add(1)
			}
		}
		if err := s.start(); err != nil {
			return e.fail("%v", err)
		}
		servers = append(servers, s)
	}
	time.Sleep(2 * heartbeatInterval)
	if e.trouble {
		for _, s := range servers[2:] {
			body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"b","concurrency":2,"state":"ready","seq":1,"born":%d}`, r.service, s.address(), time.Now().UnixMilli())
			status, _ := call(http.MethodPut, d.controlAddresses()[0], "/api/instances/"+s.name(), body, callTimeout)
			e.record.say("another writer: PUT %s: %d", body, status)
		}
	}
	t := d.load(clients, "photo", r, perSecond, 10*time.Second)
	e.record.say("%d requests for %s, %d served, %d run by a server of %s", t.asked, r.service, t.served, foreign.Load(), other.service)
	if foreign.Load() > 0 {
		e.record.say("ROUTE is broken")
		return broken
	}
	return held
}
