package main

import (
	"fmt"
	"net/http"
	"time"
)

// oddEntry has another writer send one heartbeat for the address of each server, with an id of its
// own and a service that no configuration names. Then clients begin to send requests.
func oddEntry(e *environment) int {
	const (
		service     = "photovault"
		serverCount = 4
		perSecond   = 20
	)
	d, servers, clients, r, code := startSmall(e, service, serverCount)
	if code != held {
		return code
	}
	defer d.close()
	defer exitAll(servers)
	if e.trouble {
		for i, s := range servers {
			body := fmt.Sprintf(`{"service":"legacy-print","address":%q,"zone":"a","version":"v0","concurrency":3,"state":"ready","warmupLeftMs":0,"seq":1,"born":%d}`,
				s.address(), time.Now().UnixMilli())
			status, _ := call(http.MethodPut, d.controlAddresses()[i%3], fmt.Sprintf("/api/instances/i-0dd0%04x", i), body, callTimeout)
			e.record.printf("another writer: PUT %s to %s: %d", body, d.controlAddresses()[i%3], status)
		}
	}
	time.Sleep(time.Second)
	t := d.load(clients, "request", r, perSecond, 30*time.Second)
	e.record.say("%d requests, %d served (%.2f) %v", t.asked, t.served, t.share(), t.ends)
	if t.served == 0 {
		e.record.say("Fault: no request is served")
		return broken
	}
	return held
}

// startSmall starts a small deployment with one service, its servers, and clients.
func startSmall(e *environment, service string, serverCount int) (*deployment, []*server, []*client, route, int) {
	r := route{host: "198.18.0.1", port: 8443, service: service}
	d, err := newDeployment(e.record, e.root, e.folder, 3, 2)
	if err != nil {
		return nil, nil, nil, r, e.fail("%v", err)
	}
	servers, clients, err := d.startWith(r, serverCount, d.controlAddresses())
	if err != nil {
		d.close()
		return nil, nil, nil, r, e.fail("%v", err)
	}
	return d, servers, clients, r, held
}

// startWith starts all machines, sends the first configuration, and starts servers that call the
// given control addresses in turn, and clients.
func (d *deployment) startWith(r route, serverCount int, calls []string) ([]*server, []*client, error) {
	if err := d.startAll(); err != nil {
		return nil, nil, err
	}
	if !d.putConfig(7, []route{r}, startTime) {
		return nil, nil, fmt.Errorf("the first configuration was not acknowledged")
	}
	var servers []*server
	for i := range serverCount {
		s := &server{d: d, id: 0x7f3a9100 + uint64(i), service: r.service, zone: "a", ip: d.address(5, i+1), port: d.dataPort + 3, calls: calls}
		if err := s.start(); err != nil {
			exitAll(servers)
			return nil, nil, err
		}
		servers = append(servers, s)
	}
	if !await(startTime, d.frontsReady) {
		exitAll(servers)
		return nil, nil, fmt.Errorf("the frontend machines did not become ready")
	}
	time.Sleep(2 * heartbeatInterval)
	var clients []*client
	for n := range 4 {
		c, err := newClientEnd(d, n+1)
		if err != nil {
			exitAll(servers)
			return nil, nil, err
		}
		clients = append(clients, c)
	}
	return servers, clients, nil
}

func exitAll(servers []*server) {
	for _, s := range servers {
		s.exit()
	}
}
