package main

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// firstStart starts the system for the first time and kills all processes of the core at one
// moment: when each of them has written its identity and none its snapshot. They are back within a
// second, with their disks. Then an operator, servers and clients try to use the system.
func firstStart(e *environment) int {
	const (
		downTime    = 700 * time.Millisecond
		searchTime  = 65 * time.Second
		ackLimit    = 25 * time.Second
		serverCount = 2
		perSecond   = 20
	)
	d, err := newDeployment(e.record, e.root, e.folder, 3, 2)
	if err != nil {
		return e.fail("%v", err)
	}
	defer d.close()
	hit := !e.trouble
	starts := 0
	for stop := time.Now().Add(searchTime); !hit && time.Now().Before(stop); {
		starts++
		if hit, err = killAtFirstStart(e, d); err != nil {
			return e.fail("%v", err)
		}
		if hit {
			e.record.say("all processes of the core were killed at first start %d", starts)
			time.Sleep(downTime)
		}
	}
	if !hit {
		return e.fail("the moment was not met in %d first starts", starts)
	}
	if err := d.startAll(); err != nil {
		return e.fail("%v", err)
	}
	r := route{host: "198.18.0.1", port: 8443, service: "photovault"}
	acknowledged := make(chan bool, 1)
	go func() { acknowledged <- d.putConfig(7, []route{r}, ackLimit) }()
	for i := range serverCount {
		s := &server{d: d, id: 0x7f3a9100 + uint64(i), service: r.service, zone: "a", ip: d.address(5, i+1), port: d.dataPort + 3, calls: d.controlAddresses()}
		if err := s.start(); err != nil {
			return e.fail("%v", err)
		}
		defer s.exit()
	}
	var clients []*client
	for n := range 4 {
		c, err := newClientEnd(d, n+1)
		if err != nil {
			return e.fail("%v", err)
		}
		clients = append(clients, c)
	}
	time.Sleep(5 * time.Second)
	t := d.load(clients, "request", r, perSecond, 18*time.Second)
	acked := <-acknowledged
	e.record.say("configuration acknowledged: %t; %d requests, %d served %v", acked, t.asked, t.served, t.ends)
	if t.served == 0 {
		e.record.say("Fault: no request is served")
		return broken
	}
	return held
}

// killAtFirstStart starts the processes of the core with empty disks and kills all of them at the
// moment that firstStart names. It returns false if there was no such moment.
func killAtFirstStart(e *environment, d *deployment) (bool, error) {
	const limit = 3 * time.Second
	for _, s := range d.stores {
		if err := os.RemoveAll(filepath.Join(s.folder, "data")); err != nil {
			return false, err
		}
	}
	for _, s := range d.stores {
		if err := d.start(s); err != nil {
			return false, err
		}
	}
	count := func(name string) int {
		n := 0
		for _, s := range d.stores {
			if _, err := os.Stat(filepath.Join(s.folder, "data", name)); err == nil {
				n++
			}
		}
		return n
	}
	for stop := time.Now().Add(limit); time.Now().Before(stop) && count("snapshot") == 0; {
		if count("identity") < len(d.stores) {
			continue
		}
		var kills sync.WaitGroup
		for _, s := range d.stores {
			s.signal(syscall.SIGKILL)
		}
		for _, s := range d.stores {
			kills.Add(1)
			go func() {
				defer kills.Done()
				s.wait()
			}()
		}
		kills.Wait()
		e.record.printf("all processes of the core killed; %d snapshots on the disks", count("snapshot"))
		return count("snapshot") == 0, nil
	}
	for _, s := range d.stores {
		s.kill()
	}
	return false, nil
}
