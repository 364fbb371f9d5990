package messenger

import (
	"almondpick/announcer"
	"almondpick/gossiper"
	"almondpick/planner"
	"almondpick/voter"
)

// Empty is the request of calls without parameters and the reply of calls that only succeed or
// fail.
type Empty struct{}

// FetchRequest asks for the commands after an index of the consensus log. Instances of earlier
// versions know only AfterIndex, and reject a request in which another field is set.
type FetchRequest struct {
	AfterIndex uint64 `cbor:"after"`
	// OmitDocument is set by an instance that never returns the operator's document. Its reply may
	// hold changes of the ruleset.
	OmitDocument bool `cbor:"omit-document,omitempty"`
	// RulesetVersion is the version of the ruleset that the caller holds and that a change may
	// build on; 0 asks for a whole ruleset. It has no meaning without OmitDocument.
	RulesetVersion uint64 `cbor:"ruleset,omitempty"`
}

// Plain returns the request as instances of earlier versions understand it.
func (r FetchRequest) Plain() FetchRequest {
	return FetchRequest{AfterIndex: r.AfterIndex}
}

// AppliedCommand is a committed command with its index in the log. Data is in the format of
// EncodeCommand. RulesetChange, in the format of EncodeRulesetChange, stands in place of the Data
// of a command that replaces the ruleset.
type AppliedCommand struct {
	Index         uint64 `cbor:"index"`
	Data          []byte `cbor:"data"`
	RulesetChange []byte `cbor:"ruleset-change,omitempty"`
}

// FetchReply holds either the commands after FetchRequest.AfterIndex, without superseded
// rulesets, or a snapshot of the state in the format of CompressLarge. AppliedIndex is the last
// index that the sender has applied. Only the reply to a request with OmitDocument may hold a
// RulesetChange, or a snapshot without the operator's document.
type FetchReply struct {
	Commands     []AppliedCommand `cbor:"commands"`
	Snapshot     []byte           `cbor:"snapshot"`
	AppliedIndex uint64           `cbor:"index"`
}

// Size returns the size of the commands, changes and snapshot of the reply, in bytes.
func (r FetchReply) Size() int {
	size := len(r.Snapshot)
	for _, a := range r.Commands {
		size += len(a.Data) + len(a.RulesetChange)
	}
	return size
}

// ReadReply holds the read index, an index of the log that a majority of the voters has
// confirmed, and the version of the configuration at that index.
type ReadReply struct {
	ReadIndex     uint64 `cbor:"index"`
	ConfigVersion uint64 `cbor:"version"`
}

// DeparturesReply holds the departures of targets in the log on the disk of a voter, committed
// or not.
type DeparturesReply struct {
	VoterID    string                `cbor:"voter"` // identifies the replica of the log
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

// VoterBatch is a batch of consensus messages from one voter to another.
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

// IdempotencyKeyRecord is one idempotency key in a handover between instances: an
// issuer.ExportedEntry.
type IdempotencyKeyRecord struct {
	Sequence           uint64 `cbor:"sequence"`
	State              uint8  `cbor:"state"`
	StatusCode         int    `cbor:"status"`
	Header             []byte `cbor:"header"`
	Body               []byte `cbor:"body"`
	Retained           bool   `cbor:"whole"`
	RequestFingerprint string `cbor:"fingerprint"`
}

// KeyTableHandover carries a part of a table of idempotency keys to a successor, which imports
// nothing of a handover before its final part has arrived: if the handover is interrupted, the
// sender still owns the keys.
type KeyTableHandover struct {
	HandoverID string                 `cbor:"id"`    // the same in all parts of a handover
	IssuerID   string                 `cbor:"owner"` // the process that issued the keys
	Records    []IdempotencyKeyRecord `cbor:"records"`
	FinalPart  bool                   `cbor:"final"`
}

// Validate checks the length of HandoverID. It returns a *gossiper.FieldError.
func (h KeyTableHandover) Validate() error {
	if h.HandoverID == "" || len(h.HandoverID) > gossiper.MaxKeySize {
		return &gossiper.FieldError{Field: "id", Value: len(h.HandoverID)}
	}
	return nil
}

// PlanRequest selects a plan.
type PlanRequest struct {
	PlanID string `cbor:"plan"`
}

// EvacuationRequest is an operator's order to evacuate a data centre, or to withdraw the evacuation.
type EvacuationRequest struct {
	DataCentre string `cbor:"data-centre"`
	Evacuated  bool   `cbor:"evacuated"`
}

// Validate returns a *planner.Refusal if the name of the data centre is missing or too long.
func (r EvacuationRequest) Validate() error {
	return planner.SetEvacuation{DataCentre: r.DataCentre, Evacuated: r.Evacuated}.Validate()
}

// EvacuationStatus is a planner.Evacuation with its data centre.
type EvacuationStatus struct {
	DataCentre string `cbor:"data-centre" json:"data-centre"`
	InForce    bool   `cbor:"in-force" json:"in-force"`
	LastChange uint64 `cbor:"changed" json:"changed"` // log index of the last change; the configuration got this version by it
}

// InstanceStatus is the state of one instance in a DeploymentStatus.
type InstanceStatus struct {
	Name                   string `cbor:"name" json:"name"`
	DataCentre             string `cbor:"data-centre" json:"data-centre"`
	State                  string `cbor:"state" json:"state"` // serving, not-serving, suspect or dead
	ConfigVersion          uint64 `cbor:"version" json:"version"`
	SinceLastContact       string `cbor:"last-contact" json:"last-contact"`             // in the format of time.Duration
	VotersUnreachableSince string `cbor:"cut-off-since" json:"cut-off-since,omitempty"` // RFC 3339, empty while in contact with the voters
	VoterRole              string `cbor:"voter" json:"voter,omitempty"`                 // leader, voter or learner, empty for other instances
	Retired                bool   `cbor:"retired" json:"retired"`
}

// DeploymentStatus is the state of the deployment as one instance knows it.
type DeploymentStatus struct {
	Instance        string           `cbor:"instance" json:"instance"` // name of the instance that reports
	Leader          string           `cbor:"leader" json:"leader"`     // name of the instance with the leader of the voters, "" if unknown
	ConfigVersion   uint64           `cbor:"version" json:"version"`
	ConfigRevision  uint64           `cbor:"revision" json:"revision"`   // number of confirmed plans
	ConfigInForce   bool             `cbor:"in-force" json:"in-force"`   // ConfigVersion is acknowledged by every live instance
	InstancesBehind []string         `cbor:"behind" json:"behind"`       // names of the live instances with an older configuration
	Ready           bool             `cbor:"ready" json:"ready"`         // Instance is ready
	ConfigConfirmed bool             `cbor:"confirmed" json:"confirmed"` // the configuration was confirmed by a majority of the voters since the start
	JournalState    string           `cbor:"journal" json:"journal"`     // none without a data folder, ok, or "stopped: " and the error
	Instances       []InstanceStatus `cbor:"instances" json:"instances"`
	// Evacuations lists the data centres that are or were evacuated, by name. It is omitted if there
	// are none: operators' commands of earlier versions reject a reply with an unknown field.
	Evacuations []EvacuationStatus `cbor:"evacuations,omitempty" json:"evacuations"`
}

// TargetStatus is the state of one target in a TargetList.
type TargetStatus struct {
	Endpoint        string  `cbor:"endpoint" json:"endpoint"`
	Job             string  `cbor:"job" json:"job"`
	DataCentre      string  `cbor:"data-centre" json:"data-centre"`
	State           string  `cbor:"state" json:"state"`                   // the name of an announcer.State, or lost if unreachable
	Drained         bool    `cbor:"drained" json:"drained"`               // by an operator, in the configuration
	Evacuated       bool    `cbor:"evacuated,omitempty" json:"evacuated"` // its data centre is evacuated; omitted if not, as Evacuations of DeploymentStatus
	AcceptsNewWork  bool    `cbor:"fit" json:"fit"`                       // false also if Drained or Evacuated
	Slots           int     `cbor:"slots" json:"slots"`
	Connections     int     `cbor:"connections" json:"connections"`
	Load            float64 `cbor:"load" json:"load"`
	MonitorInstance string  `cbor:"home" json:"home"`
}

// TargetList is the reply of the Targets call.
type TargetList struct {
	Targets []TargetStatus `cbor:"targets" json:"targets"`
}

// ServiceList is the reply of the Services call.
type ServiceList struct {
	ConfigVersion uint64            `cbor:"version" json:"version"`
	Services      []planner.Service `cbor:"services" json:"services"`
}

// PlanList is the reply of the History call: the confirmed plans.
type PlanList struct {
	Plans []planner.Plan `cbor:"plans" json:"plans"`
}
