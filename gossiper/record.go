package gossiper

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"almondpick/ranker"
)

// Liveness tells whether a record is as its subject published it, or marks the subject as
// suspect or dead. Among records with equal incarnation and sequence, the higher value
// supersedes the lower one, so that a suspicion replaces the record that the subject published.
type Liveness uint8

// The values of Liveness, which are sent. Records of instances use all of them; those of
// targets use LivenessSuspect for a target that has stopped announcing itself.
const (
	LivenessSelfReported Liveness = iota
	LivenessSuspect
	LivenessDead
	livenessCount
)

// Prefixes of record keys, by the subject of the record.
const (
	InstanceKeyPrefix = "i/"
	TargetKeyPrefix   = "t/"
	EstimateKeyPrefix = "e/" // the targets of a pool that are slower than normal, and observations of them
	IssuerKeyPrefix   = "h/" // the successor that holds the idempotency keys of a stopped process
)

// Size limits of the fields of a record.
const (
	MaxKeySize  = 128 // bytes
	MaxBodySize = 512 // bytes
)

// Record is the replicated state of one subject, such as an instance or a target, named by
// Key. Incarnation, Sequence and Liveness together are the version of the record. Gossip
// compares versions only and decodes no body except that of the record of an instance.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Key         string
	Incarnation uint64
	Sequence    uint64
	Liveness    Liveness
	Body        cbor.RawMessage
}

// Supersedes reports whether r replaces other, a record with the same key.
func (r Record) Supersedes(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Sequence != other.Sequence {
		return r.Sequence > other.Sequence
	}
	return r.Liveness > other.Liveness
}

// Validate checks a decoded record. It returns a *FieldError.
func (r Record) Validate() error {
	if len(r.Key) < 3 || len(r.Key) > MaxKeySize {
		return &FieldError{Field: "key", Value: len(r.Key)}
	}
	if len(r.Body) > MaxBodySize {
		return &FieldError{Field: "body", Value: len(r.Body)}
	}
	if r.Liveness >= livenessCount {
		return &FieldError{Field: "rank", Value: int(r.Liveness)}
	}
	return nil
}

// digest returns the contribution of a record to the digests of its bucket and of the store.
// It covers the key and the version, not the body.
func (r Record) digest() uint64 {
	keyed := ranker.Score(ranker.Hash(r.Key), r.Incarnation)
	return ranker.Score(keyed, r.Sequence<<2|uint64(r.Liveness))
}

// Instance is the body of the record of an instance.
type Instance struct {
	_                      struct{} `cbor:",toarray"`
	Name                   string
	DataCentre             string
	FabricGroup            string
	PeerAddress            string // UDP address for gossip
	RPCAddress             string // TCP address for gRPC calls of other instances
	RequestAddress         string // TCP address for HTTP requests
	OperatorAddress        string // TCP address for gRPC calls of operators
	Serving                bool   // owns flows; false before it is ready and while it leaves
	VoterID                string // identifies the instance's replica of the consensus log, "" without a data folder
	ProcessStartMillis     uint64 // Unix time, in milliseconds
	ConfigVersion          uint64 // of the configuration that the instance applies
	VotersUnreachableSince int64  // Unix time, in seconds; 0 while in contact with the voters
}

// Validate checks a decoded instance. It returns a *FieldError.
func (i Instance) Validate() error {
	if i.Name == "" || len(i.Name) > MaxKeySize-len(InstanceKeyPrefix) {
		return &FieldError{Field: "name", Value: len(i.Name)}
	}
	if _, err := netip.ParseAddrPort(i.PeerAddress); err != nil {
		return &FieldError{Field: "peer", Err: err}
	}
	if _, err := netip.ParseAddrPort(i.RPCAddress); err != nil {
		return &FieldError{Field: "rpc", Err: err}
	}
	return nil
}

// MessageKind is the purpose of a Message. Messages of every kind but KindHeartbeatRelay and
// KindEvidence may carry records to merge.
type MessageKind uint8

// The kinds of messages. The numbers are sent.
const (
	KindPing MessageKind = iota
	KindAck
	KindPingRequest    // asks the receiver to ping ProbedMember for the sender
	KindRecords        // only carries records
	KindBucketDigests  // asks for the records of the buckets whose digests differ
	KindConfigVersion  // reports the sender's ConfigVersion to a subscriber or a random member
	KindBroadcast      // its records originate at the sender, which sends them to all members
	KindHeartbeatRelay // names targets that announce themselves to the sender and that the receiver monitors
	KindEvidence       // its records hold observations of the sender, which are not merged
	messageKindCount
)

// Message is the content of one datagram between instances.
type Message struct {
	_             struct{} `cbor:",toarray"`
	Kind          MessageKind
	From          string   // name of the sender
	Sequence      uint64   // of the ping that is sent, acknowledged or requested; in KindBucketDigests, 1 asks for a reply
	ProbedMember  string   // name of the member to ping, for KindPingRequest
	StoreDigest   uint64   // of all records of the sender
	ConfigVersion uint64   // of the configuration that the sender applies
	Records       []Record // see MessageKind
	BucketDigests []uint64 // bucketCount digests, for KindBucketDigests
}

// Validate checks a decoded message. It returns a *FieldError.
func (m Message) Validate() error {
	if m.Kind >= messageKindCount {
		return &FieldError{Field: "kind", Value: int(m.Kind)}
	}
	if m.From == "" || len(m.From) > MaxKeySize {
		return &FieldError{Field: "from", Value: len(m.From)}
	}
	if m.Kind == KindBucketDigests && len(m.BucketDigests) != bucketCount {
		return &FieldError{Field: "buckets", Value: len(m.BucketDigests)}
	}
	for _, r := range m.Records {
		if err := r.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// SameBroadcast reports whether two envelopes carry the same batch of broadcast records to two
// receivers, so that the encoded message can be reused.
func (e Envelope) SameBroadcast(other Envelope) bool {
	if e.Message.Kind != KindBroadcast || other.Message.Kind != KindBroadcast {
		return false
	}
	return len(e.Message.Records) == len(other.Message.Records) && &e.Message.Records[0] == &other.Message.Records[0]
}

// Envelope is a message with the UDP address of its receiver.
type Envelope struct {
	To      string
	Message Message
}
