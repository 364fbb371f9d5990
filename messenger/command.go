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

// Commands have the same format in messages, in the consensus log and on disk. The instance
// that proposes a large command compresses it, so that this is done only once.
const (
	// compressedMarker is the first byte of compressed data. Data that is not compressed begins
	// with the header of a CBOR map or array, which is never this byte.
	compressedMarker = 0x01
	compressMinSize  = 1 << 10  // bytes; smaller data is not compressed
	maxCommandSize   = 32 << 20 // bytes of decompressed data; also the limit for snapshots and records
)

// CommandSizeError reports compressed data that exceeds the limit when decompressed.
type CommandSizeError struct {
	Limit int // bytes
}

// Error implements error.
func (e *CommandSizeError) Error() string {
	return "a command is larger than it may be"
}

// EncodeCommand returns a command in the format of the log: CBOR, compressed if it is large. It
// returns an encoding or compression error.
func EncodeCommand(c planner.Command) ([]byte, error) {
	plain, err := cbor.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	return CompressLarge(plain)
}

// DecodeCommand decodes a command in the format of the log. It returns a decoding error, a
// *CommandSizeError or the error of the command's Validate method.
func DecodeCommand(data []byte) (planner.Command, error) {
	var c planner.Command
	plain, err := Decompress(data)
	if err != nil {
		return c, err
	}
	err = Decode(plain, &c)
	return c, err
}

// CompressLarge compresses encoded data of at least compressMinSize bytes and returns smaller
// data unchanged.
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

// Decompress reverses CompressLarge. It returns a decompression error or a *CommandSizeError.
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMarker {
		return data, nil
	}
	return inflate(data[1:])
}

// decompressorPool reuses decompressors, because each has a window of 32 KiB.
var decompressorPool = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// inflate decompresses DEFLATE data. It returns a *CommandSizeError if the result is larger than
// maxCommandSize. expectedRatio, the expected compression ratio, sets the initial size of the
// buffer.
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
