// Package messenger is the protocol between instances, and between instances and
// operators: gRPC with a CBOR codec over the domain types, sealed datagrams for
// gossip and replicas, and the Geneve options of relays and hints.
package messenger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
)

// CodecName is the content subtype of the gRPC calls.
const CodecName = "cbor"

// validator is implemented by domain types that check themselves when decoded.
type validator interface {
	Validate() error
}

var strictDecMode = newStrictDecMode()

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

// Decode reads v from b. Unknown fields are errors, and a v that can check itself
// is asked to.
func Decode(b []byte, v any) error {
	if err := strictDecMode.Unmarshal(b, v); err != nil {
		return eris.Wrap(err, "decode message")
	}
	if c, ok := v.(validator); ok {
		return c.Validate()
	}
	return nil
}

// Encode returns the encoded form of v, which Decode reads.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	return b, nil
}

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
