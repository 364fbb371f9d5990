package messenger

import (
	"almondpick/announcer"
	"almondpick/gossiper"
	"almondpick/planner"
	"almondpick/voter"
)

// Empty is the answer of calls that only succeed or fail.
type Empty struct{}

// FetchRequest asks for what came after a position of the log.
type FetchRequest struct {
	AfterIndex uint64 `cbor:"after"`
}

// Applied is a command at its position of the log, in the log's own form.
type AppliedCommand struct {
	Index uint64 `cbor:"index"`
	Data  []byte `cbor:"data"`
}

// FetchReply holds either the commands after the position or a snapshot, and how
// far the sender has applied the log.
type FetchReply struct {
	Commands     []AppliedCommand `cbor:"commands"`
	Snapshot     []byte           `cbor:"snapshot"`
	AppliedIndex uint64           `cbor:"index"`
}

// ReadReply is a position of the log that a majority has confirmed, and the version of
// the configuration there.
type ReadReply struct {
	ReadIndex     uint64 `cbor:"index"`
	ConfigVersion uint64 `cbor:"version"`
}

// DeparturesReply holds the departures of targets that the disk of a voter holds,
// committed or not.
type DeparturesReply struct {
	VoterID    string                `cbor:"voter"` // identity in the log
	Departures []announcer.Departure `cbor:"departures"`
}

// Validate checks every departure.
func (r DeparturesReply) Validate() error {
	for _, departure := range r.Departures {
		if err := departure.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// VoterBatch carries messages between voters.
type VoterBatch struct {
	Messages []voter.Message `cbor:"messages"`
}

// Validate checks every message of the batch.
func (b VoterBatch) Validate() error {
	for _, m := range b.Messages {
		if err := m.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// TicketRecord is one ticket in a handover between instances.
type IdempotencyKeyRecord struct {
	Sequence           uint64 `cbor:"sequence"`
	State              uint8  `cbor:"state"`
	StatusCode         int    `cbor:"status"`
	Header             []byte `cbor:"header"`
	Body               []byte `cbor:"body"`
	Retained           bool   `cbor:"whole"`
	RequestFingerprint string `cbor:"fingerprint"`
}

// TicketHandover passes a part of a ticket table to a successor, which acts on none of a
// handover's tables before the final part.
type KeyTableHandover struct {
	HandoverID string                 `cbor:"id"`    // of the handover
	IssuerID   string                 `cbor:"owner"` // the issuing process
	Records    []IdempotencyKeyRecord `cbor:"records"`
	FinalPart  bool                   `cbor:"final"`
}

// Validate returns a *gossiper.FieldError for a handover without a name.
func (h KeyTableHandover) Validate() error {
	if h.HandoverID == "" || len(h.HandoverID) > gossiper.MaxKeySize {
		return &gossiper.FieldError{Field: "id", Value: len(h.HandoverID)}
	}
	return nil
}

// PlanRequest names a plan.
type PlanRequest struct {
	PlanID string `cbor:"plan"`
}

// InstanceStatus is one row of Status.
type InstanceStatus struct {
	Name                   string `cbor:"name" json:"name"`
	DataCentre             string `cbor:"data-centre" json:"data-centre"`
	State                  string `cbor:"state" json:"state"`
	ConfigVersion          uint64 `cbor:"version" json:"version"`
	SinceLastContact       string `cbor:"last-contact" json:"last-contact"` // age, as a duration
	VotersUnreachableSince string `cbor:"cut-off-since" json:"cut-off-since,omitempty"`
	VoterRole              string `cbor:"voter" json:"voter,omitempty"`
	Retired                bool   `cbor:"retired" json:"retired"`
}

// Status is how the deployment looks from one instance.
type DeploymentStatus struct {
	Instance        string           `cbor:"instance" json:"instance"`
	Leader          string           `cbor:"leader" json:"leader"`
	ConfigVersion   uint64           `cbor:"version" json:"version"`
	ConfigRevision  uint64           `cbor:"revision" json:"revision"`
	ConfigInForce   bool             `cbor:"in-force" json:"in-force"` // on every live instance
	InstancesBehind []string         `cbor:"behind" json:"behind"`
	Ready           bool             `cbor:"ready" json:"ready"`
	ConfigConfirmed bool             `cbor:"confirmed" json:"confirmed"` // read from a majority since the start
	JournalState    string           `cbor:"journal" json:"journal"`
	Instances       []InstanceStatus `cbor:"instances" json:"instances"`
}

// TargetStatus is one row of the list of targets.
type TargetStatus struct {
	Endpoint        string  `cbor:"endpoint" json:"endpoint"`
	Job             string  `cbor:"job" json:"job"`
	DataCentre      string  `cbor:"data-centre" json:"data-centre"`
	State           string  `cbor:"state" json:"state"`
	Drained         bool    `cbor:"drained" json:"drained"`
	AcceptsNewWork  bool    `cbor:"fit" json:"fit"`
	Slots           int     `cbor:"slots" json:"slots"`
	Connections     int     `cbor:"connections" json:"connections"`
	Load            float64 `cbor:"load" json:"load"`
	MonitorInstance string  `cbor:"home" json:"home"`
}

// TargetList is the answer to a question for targets.
type TargetList struct {
	Targets []TargetStatus `cbor:"targets" json:"targets"`
}

// ServiceList is the answer to a question for services.
type ServiceList struct {
	ConfigVersion uint64            `cbor:"version" json:"version"`
	Services      []planner.Service `cbor:"services" json:"services"`
}

// PlanList is the answer to a question for confirmed plans.
type PlanList struct {
	Plans []planner.Plan `cbor:"plans" json:"plans"`
}
