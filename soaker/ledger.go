package soaker

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"almondpick/platform"
)

// ledger holds what callers, targets and the operator have seen, and finds the promises
// that it breaks.
type ledger struct {
	mu       sync.Mutex
	broken   []string
	runs     map[string]int    // by request
	pools    map[string]string // by route address: the pool that it always had
	asked    int
	answered int
	refused  int
	sent     map[uint64]string    // configurations by version
	acked    map[uint64]time.Time // when each was acknowledged
	calm     func(since time.Time) bool
	extra    map[uint64]bool // versions that have the extra route
}

func newLedger() *ledger {
	return &ledger{
		runs: make(map[string]int), pools: make(map[string]string),
		sent: make(map[uint64]string), acked: make(map[uint64]time.Time), extra: make(map[uint64]bool), calm: func(time.Time) bool { return false },
	}
}

// drainLimit is how long a target that leaves may still get new flows, while nothing is
// disturbed.
const drainLimit = 3 * time.Second

func (l *ledger) breaks(promise, format string, args ...any) {
	l.broken = append(l.broken, promise+": "+fmt.Sprintf(format, args...))
}

// opened notes an opening packet that a target took in.
func (l *ledger) opened(t *target, p platform.Segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if want := l.pools[p.To.String()]; want != t.pool {
		l.breaks("wrong service", "flow %s to %s reached %s of %s", p.From, p.To, t.id(), t.pool)
	}
	if !t.leftAt.IsZero() && time.Since(t.leftAt) > drainLimit && l.calm(t.leftAt) {
		l.breaks("leaving target", "%s got flow %s %s after its word was taken", t.id(), p.From, time.Since(t.leftAt))
	}
}

// ran notes that a target began to work on a request.
func (l *ledger) ran(t *target, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request]++
	if l.runs[request] > 1 {
		l.breaks("at most once", "request %s ran again, on %s", request, t.id())
	}
}

// got notes how a request ended for its caller.
func (l *ledger) got(request, answer string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	switch {
	case refused:
		l.refused++
		if l.runs[request] > 0 {
			l.breaks("not run means not run", "request %s was refused and had run", request)
		}
	case answer != "":
		l.answered++
		if !strings.HasSuffix(answer, " "+request) {
			l.breaks("own answer", "request %s got %q", request, answer)
		}
	}
}

// cutShort notes a flow that was reset after it had opened, while its target lived and
// nothing but planned work went on.
func (l *ledger) cutShort(request string, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calm(since.Add(-settle)) {
		l.breaks("open flow", "request %s was reset after its flow had opened", request)
	}
}

// put notes that the operator sends a configuration, and whether it was acknowledged.
func (l *ledger) put(version uint64, body string, extra bool, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[version] = body
	l.extra[version] = extra
	if status == 200 && l.acked[version].IsZero() {
		l.acked[version] = time.Now()
	}
	if status >= 400 && status < 500 {
		l.breaks("order", "valid version %d was refused with %d", version, status)
	}
}

// newest returns the highest version that had been acknowledged before a time.
func (l *ledger) newest(before time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var top uint64
	for v, at := range l.acked {
		if at.Before(before) {
			top = max(top, v)
		}
	}
	return top
}

// read checks a configuration that was read back by a call that began when floor was
// the newest acknowledged version.
func (l *ledger) read(floor uint64, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, err := platform.ConfigurationVersion([]byte(body))
	switch {
	case err != nil || l.sent[v] != body:
		l.breaks("configuration", "read back %.40q, which was never sent", body)
	case v < floor:
		l.breaks("configuration", "read back version %d after %d was acknowledged", v, floor)
	}
}

// probed notes how a flow to the extra route ended that was asked for at a time. While
// nothing is disturbed it must be handled as some version allows that is not older than
// what had been acknowledged long enough before.
func (l *ledger) probed(at time.Time, end flowEnd) {
	floor := l.newest(at.Add(-applyLimit))
	l.mu.Lock()
	defer l.mu.Unlock()
	if floor == 0 || !l.calm(at.Add(-applyLimit)) {
		return
	}
	with, without := false, false
	for v, extra := range l.extra {
		if v >= floor {
			with = with || extra
			without = without || !extra
		}
	}
	if end.opened && !with {
		l.breaks("in force", "a flow to a route that version %d had dropped opened", floor)
	}
	if end.refused && !without {
		l.breaks("in force", "a flow to a route of version %d was refused", floor)
	}
}
