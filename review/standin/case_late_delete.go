package main

import (
	"sync"
	"time"
)

// lateDelete releases the servers of a service, one after the other; each starts again under its
// id. Meanwhile the link between the servers and the control machine that they call first is cut.
// The calls that say that the old incarnations have ended arrive once it is joined again. Then all
// processes are killed, and the requests that are served after the recovery are counted.
func lateDelete(e *environment) int {
	const (
		service     = "photovault"
		serverCount = 4
		perSecond   = 20
		cutTime     = 5500 * time.Millisecond
		gap         = 800 * time.Millisecond
		downTime    = 700 * time.Millisecond
	)
	d, err := newDeployment(e.record, e.root, e.folder, 3, 2)
	if err != nil {
		return e.fail("%v", err)
	}
	defer d.close()
	first, err := newLink(d.address(8, 1), d.controlAddresses()[0])
	if err != nil {
		return e.fail("%v", err)
	}
	r := route{host: "198.18.0.1", port: 8443, service: service}
	servers, clients, err := d.startWith(r, serverCount, append([]string{first.address()}, d.controlAddresses()[1:]...))
	if err != nil {
		return e.fail("%v", err)
	}
	defer exitAll(servers)

	var before tally
	var load sync.WaitGroup
	load.Add(1)
	go func() {
		defer load.Done()
		before = d.load(clients, "before", r, perSecond, 34*time.Second)
	}()
	time.Sleep(3 * time.Second)
	for half := range 2 {
		release(e, first, servers[2*half:2*half+2], gap, cutTime)
	}
	load.Wait()
	e.record.say("before the final fault: %d requests, %d served (%.2f) %v", before.asked, before.served, before.share(), before.ends)

	for _, n := range d.nodes() {
		n.kill()
	}
	e.record.printf("final fault: all processes are killed")
	time.Sleep(downTime)
	d.bootstrap = false
	for _, n := range d.nodes() {
		if err := d.start(n); err != nil {
			return e.fail("%v", err)
		}
	}
	e.record.printf("the machines are back")
	time.Sleep(recoveryTime)
	after := d.load(clients, "after", r, perSecond, 10*time.Second)
	e.record.say("later than recoveryS after the machines were back: %d requests, %d served (%.2f) %v", after.asked, after.served, after.share(), after.ends)
	if before.share() < 0.25 {
		return e.fail("less than a quarter was served before the final fault")
	}
	if after.share() < 0.25 {
		e.record.say("RECOVER is broken")
		return broken
	}
	return held
}

// release lets each server drain, leave and start again under its id, one after the other. The link
// is cut from just before the first one leaves.
func release(e *environment, link *link, servers []*server, gap, cutTime time.Duration) {
	var wait sync.WaitGroup
	leaving := make(chan struct{})
	for i, s := range servers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * gap)
			if !s.drain() {
				e.record.say("server %s got no acknowledgement", s.name())
			}
			time.Sleep(drainTime + 200*time.Millisecond)
			if i == 0 {
				close(leaving)
				time.Sleep(50 * time.Millisecond)
			}
			s.leave()
			s.exit()
			time.Sleep(addressReuseTime + 100*time.Millisecond)
			if err := s.start(); err != nil {
				e.record.say("server %s does not start: %v", s.name(), err)
			}
		}()
	}
	<-leaving
	if e.trouble {
		link.cut()
		e.record.printf("the link to the first control machine is cut")
	}
	time.Sleep(cutTime)
	if e.trouble {
		link.join()
		e.record.printf("the link is joined again")
	}
	wait.Wait()
	time.Sleep(2 * time.Second)
}
