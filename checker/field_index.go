package checker

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// pathSeparator separates the names and the array indexes in the path of a JSON field.
const pathSeparator = "/"

// fieldIndex finds the fields of a JSON document by their paths.
type fieldIndex struct {
	text       []byte
	lineStarts []int64          // offset of the first byte of each line
	offsets    map[string]int64 // offset of the value of each field, by its path
}

// newFieldIndex returns the index of a text. Without isJSON it knows lines only.
func newFieldIndex(text []byte, isJSON bool) *fieldIndex {
	x := &fieldIndex{text: text, lineStarts: []int64{0}, offsets: make(map[string]int64)}
	for i, b := range text {
		if b == '\n' {
			x.lineStarts = append(x.lineStarts, int64(i)+1)
		}
	}
	if isJSON {
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.UseNumber()
		x.add(decoder, "")
	}
	return x
}

// add adds the next value of the decoder, with all fields in it, and reports whether there was
// one.
func (x *fieldIndex) add(decoder *json.Decoder, path string) bool {
	x.offsets[path] = x.skipSeparators(decoder.InputOffset())
	token, err := decoder.Token()
	if err != nil {
		return false
	}
	if path != "" {
		path += pathSeparator
	}
	switch token {
	case json.Delim('{'):
		for decoder.More() {
			name, err := decoder.Token()
			if err != nil {
				return false
			}
			text, _ := name.(string) // the names of an object are strings
			if !x.add(decoder, path+text) {
				return false
			}
		}
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			if !x.add(decoder, path+strconv.Itoa(i)) {
				return false
			}
		}
	default:
		return true
	}
	_, err = decoder.Token() // the end of the object or array
	return err == nil
}

// skipSeparators returns the offset of the first byte at or after offset that belongs to a value.
func (x *fieldIndex) skipSeparators(offset int64) int64 {
	for offset < int64(len(x.text)) && strings.IndexByte(" \t\r\n:,", x.text[offset]) >= 0 {
		offset++
	}
	return offset
}

// find returns the first of the paths that is in the document, and the offset of its value. If
// there is none it returns the first path and the offset of the object that lacks it.
func (x *fieldIndex) find(paths []string) (string, int64) {
	for _, path := range paths {
		if offset, ok := x.offsets[path]; ok {
			return path, offset
		}
	}
	return paths[0], x.offset(paths[0])
}

// offset returns the offset of the value at a path, or of the innermost object or array around it
// that is in the document.
func (x *fieldIndex) offset(path string) int64 {
	for {
		if offset, ok := x.offsets[path]; ok || path == "" {
			return offset
		}
		path = path[:max(strings.LastIndex(path, pathSeparator), 0)]
	}
}

// position returns the line and column of an offset, both from 1.
func (x *fieldIndex) position(offset int64) (line, column int) {
	line, found := slices.BinarySearch(x.lineStarts, offset)
	if found {
		line++
	}
	return line, int(offset-x.lineStarts[line-1]) + 1
}
