package soaker

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// logFault adds a fault or planned operation to the report and the log.
func (s *Soak) logFault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.mu.Lock()
	s.faultLog = append(s.faultLog, text)
	s.mu.Unlock()
	s.log.Info("fault", "what", text)
}

// runUnplannedFault runs f in the background as an unplanned fault. Time limits are not
// checked while f runs and for faultSettleTime afterwards.
func (s *Soak) runUnplannedFault(f func()) {
	s.mu.Lock()
	s.activeFaults++
	s.mu.Unlock()
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		f()
		s.mu.Lock()
		s.activeFaults--
		s.lastFaultEnd = time.Now()
		s.mu.Unlock()
	}()
}

// injectFault starts one random fault or planned operation. Faults overlap, because they
// run in the background for longer than the pause between two calls.
func (s *Soak) injectFault() {
	instances := s.allInstances()
	i := instances[s.random.IntN(len(instances))]
	duration := time.Duration(1000+s.random.IntN(4000)) * time.Millisecond
	switch s.random.IntN(20) {
	case 0, 1:
		s.putConfiguration()
	case 2:
		s.restartGracefully(i)
	case 3:
		s.replaceTarget()
	case 4:
		s.logFault("hup %s", i.name)
		i.signal(syscall.SIGHUP)
	case 5:
		s.runUnplannedFault(func() { s.killInstance(i, duration) })
	case 6:
		s.runUnplannedFault(func() { s.suspendInstance(i, duration) })
	case 7:
		s.runUnplannedFault(func() { s.partitionInstance(i, duration, s.settings.Seed%2 == 0) })
	case 8:
		s.logFault("reset connections of %s", i.name)
		s.runUnplannedFault(i.proxy.resetConnections)
	case 9:
		s.runUnplannedFault(func() { s.degradeNetwork(i, duration) })
	case 10:
		s.wipeDisk()
	case 11:
		s.runUnplannedFault(s.killStorageInstances)
	case 12:
		storageInstance, fault := s.storageInstances[s.random.IntN(len(s.storageInstances))], diskFaults[s.random.IntN(len(diskFaults))]
		s.runUnplannedFault(func() { s.injectDiskFault(storageInstance, fault, duration) })
	case 13:
		offset := time.Duration(s.random.IntN(20)-10) * time.Second
		s.runUnplannedFault(func() { s.restartWithClockOffset(i, offset) })
	default:
		s.injectTargetFault()
	}
}

// restart starts an instance again after its process has exited.
func (s *Soak) restart(i *instance) {
	if err := i.writeSettings(s.seedAddresses(), false); err != nil {
		s.log.Error("settings-not-written", "instance", i.name, "error", err)
	}
	if err := i.start(s.settings.ProgramPath); err != nil {
		s.log.Error("not-started", "instance", i.name, "error", err)
	}
}

// claim reserves an instance for one fault and reports whether it was free. release ends
// the reservation.
func (i *instance) claim() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.claimed {
		return false
	}
	i.claimed = true
	return true
}

func (i *instance) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.claimed = false
}

// restartGracefully stops an instance with SIGTERM and starts it again, as a planned
// operation. The end of the restart of a storage instance counts as an unplanned fault,
// because the voters may be without a leader for a while.
func (s *Soak) restartGracefully(i *instance) {
	if !i.claim() {
		return
	}
	defer i.release()
	s.logFault("stop and start %s as planned", i.name)
	if !i.stop(syscall.SIGTERM) {
		s.checker.mu.Lock()
		s.checker.addViolation("planned stop", "%s did not end in time", i.name)
		s.checker.mu.Unlock()
	}
	s.restart(i)
	if i.isStorageInstance {
		s.runUnplannedFault(func() {}) // starts the wait for faultSettleTime
	}
}

// killInstance kills a process and starts it again after the duration.
func (s *Soak) killInstance(i *instance, duration time.Duration) {
	if !i.claim() {
		return
	}
	defer i.release()
	s.logFault("kill %s for %s", i.name, duration)
	i.stop(syscall.SIGKILL)
	s.sleep(duration)
	s.restart(i)
}

// suspendInstance suspends a process with SIGSTOP for the duration.
func (s *Soak) suspendInstance(i *instance, duration time.Duration) {
	if !i.claim() {
		return
	}
	defer i.release()
	s.logFault("pause %s for %s", i.name, duration)
	i.signal(syscall.SIGSTOP)
	s.sleep(duration)
	i.signal(syscall.SIGCONT)
}

// partitionInstance drops the traffic through the proxy of an instance for the duration:
// all of it, or only what is sent to the instance.
func (s *Soak) partitionInstance(i *instance, duration time.Duration, inboundOnly bool) {
	s.logFault("cut %s for %s, one way %t", i.name, duration, inboundOnly)
	i.proxy.dropInbound.Store(true)
	i.proxy.dropOutbound.Store(!inboundOnly)
	s.sleep(duration)
	i.proxy.clear()
}

// silenceConnections makes all open connections between instances silent for good, without
// closing them, while new ones work. It changes the configuration before, so that instances have
// connections open, and afterwards, because a silent connection shows only when it is used.
func (s *Soak) silenceConnections() {
	const changesBefore, changesAfter = 12, 3
	for range changesBefore {
		s.putConfiguration()
		s.sleep(250 * time.Millisecond)
	}
	s.logFault("silence all open connections")
	s.runUnplannedFault(func() {
		for _, i := range s.allInstances() {
			i.proxy.silences.Add(1)
		}
	})
	for range changesAfter {
		s.sleep(faultSettleTime + time.Second)
		s.putConfigurationWith(!s.lastHasExtraRoute)
	}
}

// degradeNetwork adds latency to connections to and from an instance through its proxy,
// and loss of datagrams to it.
func (s *Soak) degradeNetwork(i *instance, duration time.Duration) {
	s.logFault("delay and loss at %s for %s", i.name, duration)
	i.proxy.delay.Store(int64(80 * time.Millisecond))
	i.proxy.lossPerThousand.Store(50)
	s.sleep(duration)
	i.proxy.clear()
}

// wipeDisk deletes the data of a storage instance and restarts it. It does nothing while
// an unplanned fault is active or recent, and before the instance that was wiped last has
// had diskRepairTime to be replaced.
func (s *Soak) wipeDisk() {
	i := s.storageInstances[s.random.IntN(len(s.storageInstances))]
	if time.Since(s.lastWipeAt) < diskRepairTime || !s.undisturbedSince(time.Now()) || !i.claim() {
		return
	}
	s.lastWipeAt = time.Now()
	s.logFault("wipe %s", i.name)
	s.runUnplannedFault(func() {
		defer i.release()
		i.stop(syscall.SIGKILL)
		if err := os.RemoveAll(filepath.Join(i.folder, "data")); err != nil {
			s.log.Error("disk-not-wiped", "instance", i.name, "error", err)
		}
		s.restart(i)
		s.sleep(diskRepairTime)
	})
}

// injectDiskFault injects one of diskFaults into a storage instance for the duration.
func (s *Soak) injectDiskFault(i *instance, fault string, duration time.Duration) {
	if !i.claim() {
		return
	}
	defer i.release()
	s.logFault("disk of %s: %s for %s", i.name, fault, duration)
	if err := os.WriteFile(i.diskFaultFile(), []byte(fault), 0o600); err != nil {
		s.log.Error("disk-not-spoilt", "instance", i.name, "error", err)
	}
	s.sleep(duration)
	if err := os.Remove(i.diskFaultFile()); err != nil {
		s.log.Error("disk-not-mended", "instance", i.name, "error", err)
	}
}

// restartWithClockOffset kills an instance and restarts it with another offset of the wall
// clock. The clock may step backwards.
func (s *Soak) restartWithClockOffset(i *instance, offset time.Duration) {
	if !i.claim() {
		return
	}
	defer i.release()
	s.logFault("restart %s with its clock off by %s", i.name, offset)
	i.stop(syscall.SIGKILL)
	i.clockOffset = offset
	s.restart(i)
}

// killStorageInstances kills all storage instances that have no other fault at the same
// time, and restarts them.
func (s *Soak) killStorageInstances() {
	var claimed []*instance
	for _, i := range s.storageInstances {
		if i.claim() {
			claimed = append(claimed, i)
			defer i.release()
		}
	}
	s.logFault("kill %d stores at once", len(claimed))
	for _, i := range claimed {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range claimed {
		i.stop(syscall.SIGKILL)
		s.restart(i)
	}
}

// replaceTarget drains the oldest target of a pool and adds another, as a rolling update
// does. It is a planned operation.
func (s *Soak) replaceTarget() {
	pool := []string{menuPool, packPool}[s.random.IntN(2)]
	old := s.targetsByPool[pool][0]
	s.targetsByPool[pool] = s.targetsByPool[pool][1:]
	if err := s.addTarget(pool); err != nil {
		s.log.Error("target-not-added", "error", err)
	}
	s.logFault("drain %s of %s", old.id(), pool)
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		old.drain()
		s.sleep(2 * drainPropagationLimit)
		old.stop(false)
	}()
}

// endFaults waits for all unplanned faults to end, clears the network faults and resumes the
// processes in any case, and sends a new configuration.
func (s *Soak) endFaults() {
	for {
		s.mu.Lock()
		activeFaults := s.activeFaults
		s.mu.Unlock()
		if activeFaults == 0 {
			break
		}
		s.sleep(100 * time.Millisecond)
	}
	for _, i := range s.allInstances() {
		i.proxy.clear()
		i.signal(syscall.SIGCONT)
	}
	s.putConfiguration()
}
