package messenger

import (
	"almondpick/gossiper"
)

// RecordsReply holds all gossip records of the sender, already compressed. An instance that
// many others ask at the same time compresses them only once and reuses the result.
type RecordsReply struct {
	CompressedRecords []byte `cbor:"packed"`
	// Partial is set if the sender is catching up itself and may lack records of targets.
	Partial bool `cbor:"learning,omitempty"`
}

// RecordList is a list of gossip records, as EncodeRecords encodes and DecodeRecords returns it.
type RecordList []gossiper.Record

// Validate checks every record. It returns a *gossiper.FieldError.
func (r RecordList) Validate() error {
	for _, record := range r {
		if err := record.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// EncodeRecords encodes records and compresses them if they are large. It returns an encoding or
// compression error.
func EncodeRecords(r RecordList) ([]byte, error) {
	plain, err := Encode(r)
	if err != nil {
		return nil, err
	}
	return CompressLarge(plain)
}

// DecodeRecords returns the records of the reply. The error is a decoding error, a
// *CommandSizeError or a *gossiper.FieldError.
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
