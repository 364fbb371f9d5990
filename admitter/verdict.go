package admitter

// Decision says what happens to a request.
type Decision uint8

// The decisions.
const (
	Admit   Decision = iota // send it to a target
	Wait                    // keep it and ask again shortly
	Refuse                  // tell its caller that it has not run
	Discard                 // forget it: its caller waits no longer
)

var decisionNames = [...]string{"admit", "wait", "refuse", "discard"}

// String returns the name of the decision.
func (d Decision) String() string { return decisionNames[d] }

// Reason says why a request is not admitted. Its text is logged and is a metric label.
type Reason string

// The reasons.
const (
	PoolFull      Reason = "pool"            // the pool has as many requests in progress as it can answer in time
	LinkFull      Reason = "link"            // the instance's own link carries no further flow with many bytes
	NoPool        Reason = "no-pool"         // the route or its targets are not known
	WaitedTooLong Reason = "waited-too-long" // it can no longer be answered before its caller gives up
	CallerSilent  Reason = "caller-silent"   // the caller has not sent the next SYN to this instance
)

// Verdict is the answer to a request.
type Verdict struct {
	Decision Decision
	Reason   Reason // empty if Decision is Admit
	Pool     string
	// InProgress and Limit tell how many requests this instance has in progress at the load that
	// the request waits for, and how many it may have. They are zero for other reasons.
	InProgress int
	Limit      float64
	Waiting    int // requests of the route that wait for the pool, this one included
}
