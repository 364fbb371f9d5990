// Package messenger implements the protocols between instances, and between instances and
// operators: gRPC calls with a CBOR codec, signed UDP datagrams for gossip and for the
// replication of non-default flows, and the Geneve options of relayed packets and hints.
package messenger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
)

// CodecName is the gRPC content subtype of all calls.
const CodecName = "cbor"

// validator is implemented by message types that Decode validates.
type validator interface {
	Validate() error
}

var strictDecMode = newStrictDecMode()

// newStrictDecMode returns a decoding mode that rejects unknown fields.
func newStrictDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   16,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Decode decodes b into v and calls v.Validate if v has that method. Unknown fields are errors.
func Decode(b []byte, v any) error {
	if err := strictDecMode.Unmarshal(b, v); err != nil {
		return eris.Wrap(err, "decode message")
	}
	if m, ok := v.(validator); ok {
		return m.Validate()
	}
	return nil
}

// Encode returns v in the format that Decode reads.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	return b, nil
}

// codec is the gRPC codec of all calls.
type codec struct{}

// Marshal implements encoding.CodecV2.
func (codec) Marshal(v any) (mem.BufferSlice, error) {
	b, err := Encode(v)
	if err != nil {
		return nil, err
	}
	return mem.BufferSlice{mem.SliceBuffer(b)}, nil
}

// Unmarshal implements encoding.CodecV2.
func (codec) Unmarshal(data mem.BufferSlice, v any) error {
	return Decode(data.Materialize(), v)
}

// Name implements encoding.CodecV2.
func (codec) Name() string { return CodecName }

func init() {
	encoding.RegisterCodecV2(codec{})
}
