package soaker

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"almondpick/announcer"
	"almondpick/platform"
)

// Settings of the faults of targets and of other writers.
const (
	minPoolTargets = 2               // that stay while another one of their pool starts again
	maxCallDelay   = 4 * time.Second // for which a call of a target is held up after the next start of the target
	noWorkLimit    = 5 * time.Second // after which a live target has to have got a flow
)

// injectTargetFault starts a target again, or has another writer send an odd entry.
func (s *Soak) injectTargetFault() {
	if s.random.IntN(2) == 0 {
		s.restartTarget()
		return
	}
	s.sendOddEntry()
}

// restartTarget drains the oldest target of a pool and starts it again under its identity, at its
// address. Its last calls arrive once more after that, as at the end of a cut.
func (s *Soak) restartTarget() {
	pool := []string{menuPool, packPool}[s.random.IntN(2)]
	if len(s.targetsByPool[pool]) <= minPoolTargets {
		return
	}
	old := s.targetsByPool[pool][0]
	s.targetsByPool[pool] = s.targetsByPool[pool][1:]
	delay := time.Duration(s.random.Int64N(int64(maxCallDelay)))
	s.logFault("start %s of %s again, its calls arrive %s later", old.id(), pool, delay)
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		old.drain()
		s.sleep(2 * drainPropagationLimit)
		old.stop(false)
		again, err := startTarget(old.identity, old.pool, old.dataCentre, old.endpoint, s.shuffledOperatorAddresses, s.checker, true)
		if err != nil {
			s.log.Error("target-not-started-again", "error", err)
			return
		}
		s.mu.Lock()
		s.restartedTargets = append(s.restartedTargets, again)
		s.mu.Unlock()
		s.sleep(delay)
		old.repeatCalls()
	}()
}

// repeatCalls sends the calls with which a target has left once more, each to any storage instance.
func (t *target) repeatCalls() {
	for _, state := range []announcer.State{announcer.Serving, announcer.Draining} {
		t.mu.Lock()
		body := t.encodeHeartbeat(state)
		t.mu.Unlock()
		callHTTP(t.operatorAddresses()[0], http.MethodPut, platform.TargetPath(t.identity), body)
	}
	callHTTP(t.operatorAddresses()[0], http.MethodDelete, platform.TargetPath(t.identity), "")
}

// oddEntries returns entries of another writer that take the heartbeat of a target and have one
// thing wrong each.
func oddEntries(heartbeat, pool string) []string {
	replaced := func(old, odd string) string { return strings.Replace(heartbeat, old, odd, 1) }
	return []string{
		replaced(`"service":"`+pool, `"service":"legacy-print`),
		replaced(`"version"`, `"other"`),
		replaced(`"warmupLeftMs"`, `"other"`),
		replaced(`"state":"ready"`, `"state":"odd"`),
		replaced(`"seq":`, `"seq":"1","other":`),
		heartbeat[:len(heartbeat)/2],
	}
}

// sendOddEntry has another writer send an entry for the address of a target, with a later start,
// under the identity of the target or one of its own.
func (s *Soak) sendOddEntry() {
	targets := slices.Concat(s.targetsByPool[menuPool], s.targetsByPool[packPool])
	t := targets[s.random.IntN(len(targets))]
	t.mu.Lock()
	odd := t.announcement(announcer.Serving)
	t.mu.Unlock()
	odd.Incarnation += 1 + s.random.Uint64N(1<<20)
	odd.Sequence = s.random.Uint64N(1 << 20)
	body, err := platform.EncodeHeartbeat(odd)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	entries := oddEntries(string(body), t.pool)
	kind := s.random.IntN(len(entries))
	identity := []uint64{t.identity, s.random.Uint64() | 1}[s.random.IntN(2)]
	s.logFault("odd entry %d for %s", kind, t.id())
	s.oddEntries++
	status, _ := callHTTP(s.shuffledOperatorAddresses()[0], http.MethodPut, platform.TargetPath(identity), entries[kind])
	s.log.Info("odd-entry", "kind", kind, "identity", identity, "status", status)
}

// liveTargets returns the targets that neither drain nor have ended.
func (s *Soak) liveTargets() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Concat(s.restartedTargets, s.targetsByPool[menuPool], s.targetsByPool[packPool])
}

// checkTargetsGetWork checks that every live target has got a flow within noWorkLimit.
func (s *Soak) checkTargetsGetWork() {
	for _, t := range s.liveTargets() {
		t.mu.Lock()
		idle := time.Since(t.lastFlowAt)
		t.mu.Unlock()
		if idle > noWorkLimit {
			s.checker.mu.Lock()
			s.checker.addViolation("live target", "%s of %s, started at %d, has got no flow for %s", t.id(), t.pool, t.incarnation, idle)
			s.checker.mu.Unlock()
		}
	}
}
