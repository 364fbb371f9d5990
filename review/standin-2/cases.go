package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	callerHost = "198.18.0.1"
	callerPort = 8443
)

var callerAddress = netip.MustParseAddrPort("198.18.0.1:8443")

// world is a deployment with servers and a client.
type world struct {
	*deployment
	runs    *runs
	servers []*server
	client  *client
	sent    int
}

// newWorld starts a deployment with a first configuration, and servers of the services in the zones
// given as service@zone.
func newWorld(r *record, first configDoc, places ...string) (*world, error) {
	d, err := newDeployment(r, "zone-a", "zone-a", "zone-b")
	if err != nil {
		return nil, err
	}
	w := &world{deployment: d, runs: &runs{}}
	if err := w.startAll(); err != nil {
		w.end()
		return nil, err
	}
	if status := d.order("configuration 2", "PUT", "/api/config", first.encode()); status != 200 {
		w.end()
		return nil, fmt.Errorf("the first configuration got status %d", status)
	}
	for i, place := range places {
		service, zone, _ := strings.Cut(place, "@")
		s, err := d.newServer(service, zone, i+1, w.runs)
		if err != nil {
			w.end()
			return nil, err
		}
		w.servers = append(w.servers, s)
	}
	if w.client, err = d.newClient("zone-a", 1); err != nil {
		w.end()
		return nil, err
	}
	registered := func() bool {
		for _, s := range w.servers {
			if !s.registered() {
				return false
			}
		}
		return true
	}
	if !d.awaitReady(15*time.Second) || !awaitTrue(10*time.Second, registered) {
		w.end()
		return nil, fmt.Errorf("the deployment did not become ready")
	}
	time.Sleep(2 * time.Second)
	return w, nil
}

func (w *world) end() {
	for _, s := range w.servers {
		s.close()
	}
	if w.client != nil {
		w.client.close()
	}
	w.close()
}

// send sends n requests, one after the other, and returns how many were answered.
func (w *world) send(n int) int {
	answered := 0
	for range n {
		w.sent++
		if strings.HasPrefix(w.client.request(fmt.Sprintf("q%03d", w.sent), callerAddress), `"200`) {
			answered++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return answered
}

// ranBy returns how many requests the servers of a service ran since a time.
func (w *world) ranBy(service string, since time.Time) int {
	n := 0
	for _, x := range w.runs.all() {
		if x.service == service && x.at.After(since) {
			n++
		}
	}
	return n
}

// evacuatedPool: a route gives all its flows to one service, and a second service has the weight 0.
// The zone with the servers of the first is evacuated.
func evacuatedPool(r *record, trouble bool) (outcome, string) {
	route := newRoute("orders", callerHost, callerPort)
	route.Split = []splitDoc{{"next", 0}, {"live", 100}}
	w, err := newWorld(r, newConfig(2, []string{"live", "next"}, route), "live@zone-a", "live@zone-a", "next@zone-b")
	if err != nil {
		return notRunning, err.Error()
	}
	defer w.end()
	start := time.Now()
	if answered := w.send(40); answered < 36 || w.ranBy("next", start) > 0 {
		return notRunning, fmt.Sprintf("before the evacuation %d of 40 were answered, %d by the service with weight 0", answered, w.ranBy("next", start))
	}
	if trouble {
		if status := w.order("evacuate zone-a", "POST", "/api/evacuations/zone-a", nil); status/100 != 2 {
			return notRunning, fmt.Sprintf("the evacuation got status %d", status)
		}
	}
	time.Sleep(evacuateMs * time.Millisecond)
	since := time.Now()
	answered := w.send(40)
	wrong := w.ranBy("next", since)
	text := fmt.Sprintf("of 40 requests %d were answered; %d were run by live, and %d by next, to which the only configuration gives the weight 0",
		answered, w.ranBy("live", since), wrong)
	switch {
	case wrong > 0:
		return broken, text
	case !trouble && answered < 36:
		return notRunning, text
	}
	return held, text
}

// invalidDocument sends a document that the pages call invalid, and then looks which configuration is
// in force. Without the trouble the valid one is sent.
func invalidDocument(r *record, trouble bool, valid configDoc, invalid []byte, isInvalid func(readBack []byte) bool) (outcome, string) {
	route := newRoute("orders", callerHost, callerPort)
	route.Service = "live"
	w, err := newWorld(r, newConfig(2, []string{"live", "next"}, route), "live@zone-a", "live@zone-b")
	if err != nil {
		return notRunning, err.Error()
	}
	defer w.end()
	if answered := w.send(20); answered < 18 {
		return notRunning, fmt.Sprintf("before the change %d of 20 were answered", answered)
	}
	body, what := valid.encode(), "configuration 7, valid"
	if trouble {
		body, what = invalid, "configuration 7, invalid"
		r.printf("operator: the document is %q", invalid)
	}
	status := w.order(what, "PUT", "/api/config", body)
	time.Sleep(configMs * time.Millisecond)
	answered := w.send(20)
	readStatus, readBack := 0, []byte(nil)
	for _, m := range w.core {
		if readStatus, readBack = w.call(m, "GET", "/api/config", nil); readStatus == 200 {
			break
		}
	}
	r.printf("operator: reads back: status %d, %q", readStatus, readBack)
	text := fmt.Sprintf("the %s got status %d; %d of 20 requests were answered after it; the configuration read back is the invalid one: %t",
		what, status, answered, isInvalid(readBack))
	switch {
	case !trouble && (status != 200 || answered < 18):
		return notRunning, text
	case trouble && (status/100 == 2 || isInvalid(readBack)):
		return broken, text
	}
	return held, text
}

// noRoutes: the document has a version and services, and ends before its routes.
func noRoutes(r *record, trouble bool) (outcome, string) {
	route := newRoute("orders", callerHost, callerPort)
	route.Service = "live"
	valid := newConfig(7, []string{"live", "next"}, route)
	invalid, err := json.Marshal(map[string]any{"version": 7, "services": valid.Services, "limits": valid.Limits})
	if err != nil {
		return notRunning, err.Error()
	}
	return invalidDocument(r, trouble, valid, invalid, func(b []byte) bool {
		return len(b) > 0 && !bytes.Contains(b, []byte(`"routes"`))
	})
}

// unreadable: one byte of the document was damaged, so that it is no JSON text any more. The byte is one
// of the name of the member routes.
func unreadable(r *record, trouble bool) (outcome, string) {
	route := newRoute("orders", callerHost, callerPort)
	route.Service = "live"
	valid := newConfig(7, []string{"live", "next"}, route)
	invalid := bytes.Replace(valid.encode(), []byte(`"routes"`), []byte("\"rou\xf2es\""), 1)
	return invalidDocument(r, trouble, valid, invalid, func(b []byte) bool { return len(b) > 0 && !utf8.Valid(b) })
}
