package gossiper

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"almondpick/ranker"
)

// Rank orders records with equal incarnation and sequence: a claim that an
// instance is worse off goes before the instance's own older word.
type Liveness uint8

// The ranks. Only instances' records use those above RankOwn.
const (
	LivenessSelfReported Liveness = iota
	LivenessSuspect
	LivenessDead
	livenessCount
)

// Prefixes of record keys.
const (
	InstanceKeyPrefix = "i/"
	TargetKeyPrefix   = "t/"
	IssuerKeyPrefix   = "h/" // who holds the tickets of a process that has stopped
)

// Limits of a record.
const (
	MaxKeySize  = 128 // bytes
	MaxBodySize = 512 // bytes
)

// Record is one replicated fact. The body belongs to whoever owns the key; the
// gossip compares versions only.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Key         string
	Incarnation uint64
	Sequence    uint64
	Liveness    Liveness
	Body        cbor.RawMessage
}

// Newer tells whether r replaces o.
func (r Record) Supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.Liveness > o.Liveness
}

// Validate checks the limits of a decoded record. It returns a *FieldError.
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

// digest is the contribution of a record to the digest of its bucket.
func (r Record) digest() uint64 {
	keyed := ranker.Score(ranker.Hash(r.Key), r.Incarnation)
	return ranker.Score(keyed, r.Sequence<<2|uint64(r.Liveness))
}

// Instance is the body of an instance's record.
type Instance struct {
	_                      struct{} `cbor:",toarray"`
	Name                   string
	DataCentre             string
	FabricGroup            string
	PeerAddress            string // UDP address of the peer door
	RPCAddress             string // TCP address of the peer door
	RequestAddress         string // TCP address of the request door
	OperatorAddress        string // TCP address of the operator door
	Serving                bool   // owns flows; false before it is ready and while it leaves
	VoterID                string // identity in the replicated log, "" without a disk
	ProcessStartMillis     uint64 // start of the process, Unix milliseconds
	ConfigVersion          uint64 // configuration in force
	VotersUnreachableSince int64  // Unix seconds, 0 while in contact with the voters
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

// Kind is the purpose of a Message.
type MessageKind uint8

// The kinds.
const (
	KindPing MessageKind = iota
	KindAck
	KindPingRequest // asks the receiver to ping Subject
	KindRecords
	KindBucketDigests  // carries bucket digests, asks for records that differ
	KindConfigVersion  // carries the sender's version, to those who watch over it
	KindBroadcast      // carries records that begin at the sender, which tells everybody itself
	KindHeartbeatRelay // carries keys of what the sender hears from and the receiver answers for
	messageKindCount
)

// Message is one datagram between instances.
type Message struct {
	_             struct{} `cbor:",toarray"`
	Kind          MessageKind
	From          string
	Sequence      uint64
	ProbedMember  string
	StoreDigest   uint64
	ConfigVersion uint64 // configuration in force at the sender
	Records       []Record
	BucketDigests []uint64
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

// Same tells whether two envelopes bring the same news, to two receivers.
func (e Envelope) SameBroadcast(o Envelope) bool {
	if e.Message.Kind != KindBroadcast || o.Message.Kind != KindBroadcast {
		return false
	}
	return len(e.Message.Records) == len(o.Message.Records) && &e.Message.Records[0] == &o.Message.Records[0]
}

// Envelope is a message with the UDP address it goes to.
type Envelope struct {
	To      string
	Message Message
}
