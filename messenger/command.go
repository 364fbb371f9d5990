package messenger

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondpick/planner"
)

// Commands travel and are stored in the form that they have in the log. Large ones are
// compressed, once, by the instance that proposes them.
const (
	// compressedMark begins a compressed command. A plain one begins with a CBOR map.
	compressedMarker = 0x01
	compressMinSize  = 1 << 10  // bytes
	maxCommandSize   = 32 << 20 // bytes, decompressed
)

// CommandSizeError reports a command that is larger than any may be.
type CommandSizeError struct {
	Limit int // bytes
}

// Error implements error.
func (e *CommandSizeError) Error() string {
	return "a command is larger than it may be"
}

// EncodeCommand returns the form of a command in the log.
func EncodeCommand(c planner.Command) ([]byte, error) {
	plain, err := cbor.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	return CompressLarge(plain)
}

// DecodeCommand reads a command in the form of the log. It returns a decoding error, a
// *CommandSizeError or what the command's own check finds.
func DecodeCommand(data []byte) (planner.Command, error) {
	var c planner.Command
	plain, err := Decompress(data)
	if err != nil {
		return c, err
	}
	err = Decode(plain, &c)
	return c, err
}

// Pack compresses encoded data where that is worth it.
func CompressLarge(plain []byte) ([]byte, error) {
	if len(plain) < compressMinSize {
		return plain, nil
	}
	var b bytes.Buffer
	b.WriteByte(compressedMarker)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return b.Bytes(), nil
}

// Unpack returns what was packed. It returns a decompression error or a
// *CommandSizeError.
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMarker {
		return data, nil
	}
	return inflate(data[1:])
}

// decompressors are kept, because each has a window of 32 KiB.
var decompressorPool = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

func inflate(data []byte) ([]byte, error) {
	r := decompressorPool.Get().(io.Reader)
	defer decompressorPool.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	const expectedRatio = 10
	b := bytes.NewBuffer(make([]byte, 0, expectedRatio*len(data)))
	n, err := b.ReadFrom(io.LimitReader(r, maxCommandSize+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if n > maxCommandSize {
		return nil, &CommandSizeError{Limit: maxCommandSize}
	}
	return b.Bytes(), nil
}
