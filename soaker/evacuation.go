package soaker

import (
	"net/http"
	"slices"
	"time"

	"almondpick/platform"
)

// Time limits of evacuations and how often the operator gives an order.
const (
	evacuationLimit       = 5 * time.Second // from the acknowledgement until no flow opens in the data centre
	evacuationTimeout     = 6 * time.Second // until the operator stops sending an order again
	evacuationProbability = 0.2             // that an order is given beside a fault
	minOtherTargets       = 2               // of each pool in the other data centres
)

// dataCentres are the data centres of a soak test.
var dataCentres = []string{"zone-0", "zone-1", "zone-2"}

// changeEvacuation withdraws the evacuation that may be in force, or evacuates a random data centre
// without which enough targets of each pool are left.
func (s *Soak) changeEvacuation() {
	if s.evacuated != "" {
		s.orderEvacuation(s.evacuated, false)
		return
	}
	for _, n := range s.evacuationRandom.Perm(len(dataCentres)) {
		if s.mayBeEvacuated(dataCentres[n]) {
			s.orderEvacuation(dataCentres[n], true)
			return
		}
	}
}

// mayBeEvacuated reports whether enough targets of each pool are in other data centres.
func (s *Soak) mayBeEvacuated(dataCentre string) bool {
	for _, pool := range []string{menuPool, packPool} {
		left := slices.DeleteFunc(slices.Clone(s.targetsByPool[pool]), func(t *target) bool { return t.dataCentre == dataCentre })
		if len(left) < minOtherTargets {
			return false
		}
	}
	return true
}

// orderEvacuation sends an order to the storage instances in turn, with exponential backoff between
// rounds, until one acknowledges it or evacuationTimeout has passed. An evacuation that was not
// acknowledged may be in force all the same.
func (s *Soak) orderEvacuation(dataCentre string, evacuated bool) {
	s.logFault("evacuation of %s: %t", dataCentre, evacuated)
	method := http.MethodDelete
	if evacuated {
		method, s.evacuated = http.MethodPost, dataCentre
	}
	s.checker.recordEvacuation(dataCentre, evacuated, 0)
	startedAt := time.Now()
	for backoff := 50 * time.Millisecond; time.Since(startedAt) < evacuationTimeout; backoff *= 2 {
		for _, address := range s.shuffledOperatorAddresses() {
			status, _ := callHTTP(address, method, platform.EvacuationPath(dataCentre), "")
			s.checker.recordEvacuation(dataCentre, evacuated, status)
			if status == http.StatusOK && !evacuated {
				s.evacuated = ""
			}
			if status == http.StatusOK {
				return
			}
		}
		s.sleep(backoff)
	}
}

// evacuateUntilRestored keeps one data centre evacuated while f runs, and withdraws that afterwards.
func (s *Soak) evacuateUntilRestored(f func()) {
	if s.evacuated == "" {
		s.changeEvacuation()
	}
	f()
	if s.evacuated == "" {
		return
	}
	s.orderEvacuation(s.evacuated, false)
	if s.evacuated != "" {
		s.checker.mu.Lock()
		s.checker.addViolation("recovery", "the evacuation of %s was not withdrawn at the end", s.evacuated)
		s.checker.mu.Unlock()
	}
}

// recordEvacuation records that the operator sends an order about a data centre, and the status code
// of the response; 0 stands for none. The data centres exist, so no order must be refused.
func (c *checker) recordEvacuation(dataCentre string, evacuated bool, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !evacuated:
		delete(c.evacuatedSince, dataCentre)
	case status == http.StatusOK:
		c.evacuatedSince[dataCentre] = time.Now()
		c.evacuations++
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		c.addViolation("evacuation", "an order about %s was refused with %d", dataCentre, status)
	}
}

// checkEvacuated checks that a flow did not open in a data centre whose evacuation had been
// acknowledged for evacuationLimit. Faults in that time may delay the order, and earlier ones must
// not undo it. The caller holds mu.
func (c *checker) checkEvacuated(t *target, segment platform.Segment) {
	limit := time.Now().Add(-evacuationLimit)
	since, ok := c.evacuatedSince[t.dataCentre]
	if ok && since.Before(limit) && c.undisturbedSince(limit) {
		c.addViolation("evacuation", "%s in %s got flow %s %s after the order was acknowledged", t.id(), t.dataCentre, segment.From, time.Since(since))
	}
}
