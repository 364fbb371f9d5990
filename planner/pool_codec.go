package planner

import (
	"github.com/fxamacker/cbor/v2"
)

// poolWithoutSlowStart is the encoding of a pool without a slow start. Rulesets that were stored
// before pools had one contain it, and instances of that time decode no other.
type poolWithoutSlowStart struct {
	_              struct{} `cbor:",toarray"`
	Name           string
	HealthPath     string
	MaxConnections int
}

// poolWithSlowStart is the encoding of a pool with a slow start.
type poolWithSlowStart Pool

// slowStartPoolFields is the number of elements of an encoded poolWithSlowStart.
const slowStartPoolFields = 5

// MarshalCBOR implements cbor.Marshaler. The fields of the slow start are left out if none of them
// is set.
func (p Pool) MarshalCBOR() ([]byte, error) {
	if p.SlowStart == 0 && p.SlowStartRate == 0 {
		return cbor.Marshal(poolWithoutSlowStart{Name: p.Name, HealthPath: p.HealthPath, MaxConnections: p.MaxConnections})
	}
	return cbor.Marshal(poolWithSlowStart(p))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (p *Pool) UnmarshalCBOR(data []byte) error {
	const arrayHead = 0x80 // of a CBOR array with fewer than 24 elements
	if len(data) > 0 && data[0] == arrayHead+slowStartPoolFields {
		return cbor.Unmarshal(data, (*poolWithSlowStart)(p))
	}
	var short poolWithoutSlowStart
	if err := cbor.Unmarshal(data, &short); err != nil {
		return err
	}
	*p = Pool{Name: short.Name, HealthPath: short.HealthPath, MaxConnections: short.MaxConnections}
	return nil
}
