package soaker

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// note records what is done, for the report.
func (s *Soak) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.mu.Lock()
	s.faults = append(s.faults, text)
	s.mu.Unlock()
	s.log.Info("fault", "what", text)
}

// unplanned runs f, which disturbs the deployment, in the background. Time bounds do not
// hold while it lasts and a while after.
func (s *Soak) unplanned(f func()) {
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		f()
		s.mu.Lock()
		s.active--
		s.lastBad = time.Now()
		s.mu.Unlock()
	}()
}

// fault does one thing to the deployment. Several overlap, because those in the
// background last longer than the pause between two.
func (s *Soak) fault() {
	all := s.all()
	i := all[s.random.IntN(len(all))]
	d := time.Duration(1000+s.random.IntN(4000)) * time.Millisecond
	switch s.random.IntN(14) {
	case 0, 1:
		s.put()
	case 2:
		s.restartPlanned(i)
	case 3:
		s.replaceTarget()
	case 4:
		s.note("hup %s", i.name)
		i.signal(syscall.SIGHUP)
	case 5:
		s.unplanned(func() { s.kill(i, d) })
	case 6:
		s.unplanned(func() { s.pause(i, d) })
	case 7:
		s.unplanned(func() { s.cut(i, d, s.set.Seed%2 == 0) })
	case 8:
		s.note("reset connections of %s", i.name)
		s.unplanned(i.proxy.reset)
	case 9:
		s.unplanned(func() { s.degrade(i, d) })
	case 10:
		s.wipe()
	case 11:
		s.unplanned(s.killStores)
	case 12:
		store, fault := s.stores[s.random.IntN(len(s.stores))], diskFaults[s.random.IntN(len(diskFaults))]
		s.unplanned(func() { s.spoilDisk(store, fault, d) })
	case 13:
		offset := time.Duration(s.random.IntN(20)-10) * time.Second
		s.unplanned(func() { s.stepClock(i, offset) })
	}
}

// restart starts an instance whose process has ended.
func (s *Soak) restart(i *instance) {
	if err := i.settings(s.seeds(), false); err != nil {
		s.log.Error("settings-not-written", "instance", i.name, "error", err)
	}
	if err := i.start(s.set.ProgramPath); err != nil {
		s.log.Error("not-started", "instance", i.name, "error", err)
	}
}

// claim takes an instance for one fault at a time.
func (i *instance) claim() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy {
		return false
	}
	i.busy = true
	return true
}

func (i *instance) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.busy = false
}

func (s *Soak) restartPlanned(i *instance) {
	if !i.claim() {
		return
	}
	defer i.release()
	s.note("stop and start %s as planned", i.name)
	if !i.stop(syscall.SIGTERM) {
		s.ledger.mu.Lock()
		s.ledger.breaks("planned stop", "%s did not end in time", i.name)
		s.ledger.mu.Unlock()
	}
	s.restart(i)
	if i.store {
		s.unplanned(func() {}) // the log may have been without a leader
	}
}

func (s *Soak) kill(i *instance, d time.Duration) {
	if !i.claim() {
		return
	}
	defer i.release()
	s.note("kill %s for %s", i.name, d)
	i.stop(syscall.SIGKILL)
	s.rest(d)
	s.restart(i)
}

func (s *Soak) pause(i *instance, d time.Duration) {
	if !i.claim() {
		return
	}
	defer i.release()
	s.note("pause %s for %s", i.name, d)
	i.signal(syscall.SIGSTOP)
	s.rest(d)
	i.signal(syscall.SIGCONT)
}

// cut partitions an instance's peer door, in one direction or both.
func (s *Soak) cut(i *instance, d time.Duration, oneWay bool) {
	s.note("cut %s for %s, one way %t", i.name, d, oneWay)
	i.proxy.cutIn.Store(true)
	i.proxy.cutOut.Store(!oneWay)
	s.rest(d)
	i.proxy.heal()
}

func (s *Soak) degrade(i *instance, d time.Duration) {
	s.note("delay and loss at %s for %s", i.name, d)
	i.proxy.delay.Store(int64(80 * time.Millisecond))
	i.proxy.lossy.Store(50)
	s.rest(d)
	i.proxy.heal()
}

// wipe makes a store lose its disk, when the one before has had time to be replaced and
// nothing else is wrong with the stores.
func (s *Soak) wipe() {
	i := s.stores[s.random.IntN(len(s.stores))]
	if time.Since(s.wiped) < repairTime || !s.calm(time.Now()) || !i.claim() {
		return
	}
	s.wiped = time.Now()
	s.note("wipe %s", i.name)
	s.unplanned(func() {
		defer i.release()
		i.stop(syscall.SIGKILL)
		if err := os.RemoveAll(filepath.Join(i.folder, "data")); err != nil {
			s.log.Error("disk-not-wiped", "instance", i.name, "error", err)
		}
		s.restart(i)
		s.rest(repairTime)
	})
}

// spoilDisk makes the disk of a store refuse, stall or slow down for a while.
func (s *Soak) spoilDisk(i *instance, fault string, d time.Duration) {
	if !i.claim() {
		return
	}
	defer i.release()
	s.note("disk of %s: %s for %s", i.name, fault, d)
	if err := os.WriteFile(i.diskFault(), []byte(fault), 0o600); err != nil {
		s.log.Error("disk-not-spoilt", "instance", i.name, "error", err)
	}
	s.rest(d)
	if err := os.Remove(i.diskFault()); err != nil {
		s.log.Error("disk-not-mended", "instance", i.name, "error", err)
	}
}

// stepClock restarts an instance with another time of day, which may be before the one
// that it had.
func (s *Soak) stepClock(i *instance, offset time.Duration) {
	if !i.claim() {
		return
	}
	defer i.release()
	s.note("restart %s with its clock off by %s", i.name, offset)
	i.stop(syscall.SIGKILL)
	i.offset = offset
	s.restart(i)
}

func (s *Soak) killStores() {
	var taken []*instance
	for _, i := range s.stores {
		if i.claim() {
			taken = append(taken, i)
			defer i.release()
		}
	}
	s.note("kill %d stores at once", len(taken))
	for _, i := range taken {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range taken {
		i.stop(syscall.SIGKILL)
		s.restart(i)
	}
}

// replaceTarget drains the oldest target of a pool and adds another, as a release does.
func (s *Soak) replaceTarget() {
	pool := []string{menus, packs}[s.random.IntN(2)]
	old := s.targets[pool][0]
	s.targets[pool] = s.targets[pool][1:]
	if err := s.addTarget(pool); err != nil {
		s.log.Error("target-not-added", "error", err)
	}
	s.note("drain %s of %s", old.id(), pool)
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		old.drain()
		s.rest(2 * drainLimit)
		old.end(false)
	}()
}

// heal ends all faults and waits for those in the background.
func (s *Soak) heal() {
	for {
		s.mu.Lock()
		active := s.active
		s.mu.Unlock()
		if active == 0 {
			break
		}
		s.rest(100 * time.Millisecond)
	}
	for _, i := range s.all() {
		i.proxy.heal()
		i.signal(syscall.SIGCONT)
	}
	s.put()
}
