package messenger

import (
	"almondpick/gossiper"
)

// RecordsReply holds all gossip records of the sender. They are compressed already, so that an
// instance that many others ask at the same time compresses them only once.
type RecordsReply struct {
	CompressedRecords []byte `cbor:"packed"`
	// MayBeIncomplete is set if the sender itself has just started and may lack records.
	Partial bool `cbor:"learning,omitempty"`
}

// RecordList is the list of records that EncodeRecords encodes.
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

// EncodeRecords encodes and compresses records. It returns an encoding error.
func EncodeRecords(r RecordList) ([]byte, error) {
	plain, err := Encode(r)
	if err != nil {
		return nil, err
	}
	return CompressLarge(plain)
}

// DecodeRecords returns the records of the reply. It returns a decoding error, a
// *CommandSizeError or the error of a record's Validate method.
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
