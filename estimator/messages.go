package estimator

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strconv"
	"time"
)

// Sizes and scales of the messages.
const (
	reportEntrySize  = 8  // bytes: label, incarnation, count, sum of the ratios
	summaryEntrySize = 6  // bytes: label, incarnation, speed
	maxReportEntries = 50 // so that a report fits into a gossip record
	// maxSummaryEntries bounds a summary, which has to fit into a gossip record. If more targets
	// are slow, the slowest are named.
	maxSummaryEntries = 80
	ratioScale        = 32  // a ratio of 1 in a report
	speedScale        = 16  // steps for each factor of e in a summary
	normalSpeed       = 255 // step of the speed 1
	maxMeanLatency    = uint64(time.Hour / time.Microsecond)
)

// MessageError reports a message with an invalid field.
type MessageError struct {
	Field string
	Value int
}

// Error implements error.
func (e *MessageError) Error() string {
	return "estimator: invalid " + e.Field + ": " + strconv.Itoa(e.Value)
}

// Report is what one instance has observed of the targets of a pool since its last report.
type Report struct {
	_           struct{} `cbor:",toarray"`
	MeanLatency uint64   // average of the classes of the requests, in microseconds
	Entries     []byte
}

// Validate returns a *MessageError if the report is malformed.
func (r Report) Validate() error {
	if r.MeanLatency > maxMeanLatency {
		return &MessageError{Field: "mean latency", Value: int(min(r.MeanLatency, math.MaxInt32))}
	}
	if len(r.Entries)%reportEntrySize != 0 || len(r.Entries) > maxReportEntries*reportEntrySize {
		return &MessageError{Field: "report entries", Value: len(r.Entries)}
	}
	return nil
}

// newReports returns the reports of some observations.
func newReports(pending map[Key]observations) []Report {
	keys := make([]Key, 0, len(pending))
	total := observations{}
	for k, o := range pending {
		keys = append(keys, k)
		total.count += o.count
		total.mean += o.mean
	}
	slices.SortFunc(keys, compareKeys)
	mean := uint64(total.mean / float64(total.count) * float64(time.Second/time.Microsecond))
	var reports []Report
	for batch := range slices.Chunk(keys, maxReportEntries) {
		r := Report{MeanLatency: min(mean, maxMeanLatency)}
		for _, k := range batch {
			r.Entries = append(r.Entries, reportEntry(k, pending[k])...)
		}
		reports = append(reports, r)
	}
	return reports
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Label, b.Label), cmp.Compare(a.Incarnation, b.Incarnation))
}

// reportEntry encodes observations. The ratio of the responses beyond the highest count is left out
// in proportion.
func reportEntry(k Key, o observations) []byte {
	count := min(o.count, math.MaxUint8)
	ratio := o.ratio * float64(count) / float64(o.count)
	b := binary.BigEndian.AppendUint32(nil, k.Label)
	b = append(b, k.Incarnation, byte(count))
	return binary.BigEndian.AppendUint16(b, uint16(min(math.Round(ratio*ratioScale), math.MaxUint16)))
}

// eachEntry calls f for each target in the report.
func (r Report) eachEntry(f func(Key, observations)) {
	mean := (time.Duration(r.MeanLatency) * time.Microsecond).Seconds()
	for b := range slices.Chunk(r.Entries, reportEntrySize) {
		k := Key{Label: binary.BigEndian.Uint32(b), Incarnation: b[4]}
		count := int(b[5])
		f(k, observations{count: count, ratio: float64(binary.BigEndian.Uint16(b[6:])) / ratioScale, mean: mean * float64(count)})
	}
}

// Summary names the targets of a pool that are slower than normal, and their speeds.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Entries []byte
}

// Validate returns a *MessageError if the summary is malformed.
func (s Summary) Validate() error {
	if len(s.Entries)%summaryEntrySize != 0 || len(s.Entries) > maxSummaryEntries*summaryEntrySize {
		return &MessageError{Field: "summary entries", Value: len(s.Entries)}
	}
	return nil
}

// newSummary returns the summary of some speeds.
func newSummary(speeds map[Key]float64) Summary {
	keys := make([]Key, 0, len(speeds))
	for k := range speeds {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(speeds[a], speeds[b]), compareKeys(a, b))
	})
	var s Summary
	for _, k := range keys[:min(len(keys), maxSummaryEntries)] {
		s.Entries = binary.BigEndian.AppendUint32(s.Entries, k.Label)
		s.Entries = append(s.Entries, k.Incarnation, encodeSpeed(speeds[k]))
	}
	return s
}

func encodeSpeed(speed float64) byte {
	return byte(max(0, min(math.MaxUint8, normalSpeed+math.Round(speedScale*math.Log(speed)))))
}

// speeds returns the speeds of the targets that are slower than normal.
func (s Summary) speeds() map[Key]float64 {
	speeds := make(map[Key]float64, len(s.Entries)/summaryEntrySize)
	slowest := 1 / slowness[levelCount-1]
	for b := range slices.Chunk(s.Entries, summaryEntrySize) {
		if b[5] < normalSpeed {
			speed := math.Exp((float64(b[5]) - normalSpeed) / speedScale)
			speeds[Key{Label: binary.BigEndian.Uint32(b), Incarnation: b[4]}] = max(slowest, speed)
		}
	}
	return speeds
}
