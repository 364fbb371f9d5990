package messenger

import (
	"almondpick/gossiper"
)

// RecordsReply holds all that the sender knows of instances and targets. The records are
// packed, so that an instance which many ask at the same time packs them once.
type RecordsReply struct {
	CompressedRecords []byte `cbor:"packed"`
	// Learning says that the sender has itself just started and may miss some.
	MayBeIncomplete bool `cbor:"learning,omitempty"`
}

// Records is a list of records as it is packed.
type RecordList []gossiper.Record

// Validate checks every record.
func (r RecordList) Validate() error {
	for _, record := range r {
		if err := record.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// PackRecords returns the packed form of records. It returns an encoding error.
func EncodeRecords(r RecordList) ([]byte, error) {
	plain, err := Encode(r)
	if err != nil {
		return nil, err
	}
	return CompressLarge(plain)
}

// Records returns the records of the reply. It returns a decoding error, a
// *CommandSizeError or what the check of a record finds.
func (r RecordsReply) DecodeRecords() (RecordList, error) {
	if len(r.CompressedRecords) == 0 {
		return nil, nil
	}
	plain, err := Decompress(r.CompressedRecords)
	if err != nil {
		return nil, err
	}
	var records RecordList
	err = Decode(plain, &records)
	return records, err
}
