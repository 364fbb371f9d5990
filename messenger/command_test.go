package messenger

import (
	"bytes"
	"compress/flate"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"almondpick/planner"
)

func TestCommandsRoundTrip(t *testing.T) {
	for _, size := range []int{1, 100_000} {
		is := is.New(t)
		cmd := planner.Command{ReplaceRuleset: &planner.Ruleset{Version: 7, Source: []byte(strings.Repeat("x", size))}}
		data, err := EncodeCommand(cmd)
		is.NoErr(err)
		is.True(len(data) < 2000)
		got, err := DecodeCommand(data)
		is.NoErr(err)
		is.Equal(got, cmd)
	}
}

func TestDamagedCommandsAreRejected(t *testing.T) {
	is := is.New(t)
	data, err := EncodeCommand(planner.Command{ReplaceRuleset: &planner.Ruleset{Version: 7, Source: make([]byte, 5000)}})
	is.NoErr(err)
	_, err = DecodeCommand(data[:len(data)/2])
	is.True(err != nil)
	_, err = DecodeCommand(nil)
	is.True(err != nil)

	var bomb bytes.Buffer
	bomb.WriteByte(compressedMarker)
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	is.NoErr(err)
	for range maxCommandSize>>20 + 1 {
		_, err = w.Write(make([]byte, 1<<20))
		is.NoErr(err)
	}
	is.NoErr(w.Close())
	_, err = DecodeCommand(bomb.Bytes())
	var size *CommandSizeError
	is.True(errors.As(err, &size))
}

func FuzzCommand(f *testing.F) {
	data, err := EncodeCommand(planner.Command{ReplaceRuleset: &planner.Ruleset{Version: 7, Source: make([]byte, 5000)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = DecodeCommand(b)
	})
}
