package gossiper

import (
	"math/bits"
	"slices"

	"almondpick/ranker"
)

const bucketCount = 96

// rumor is a record that is still being passed on.
type rumor struct {
	key       string
	sendCount int
}

// store holds the newest record of each key, a digest of each bucket of keys, and
// the rumours that are under way, least sent first.
type store struct {
	records        map[string]Record
	bucketDigests  [bucketCount]uint64
	rumors         []rumor
	digest         uint64
	suppressRumors bool // what is merged is no rumour
}

func newStore() *store {
	return &store{records: make(map[string]Record)}
}

func bucketOf(key string) int {
	return int(ranker.Hash(key) % bucketCount)
}

// merge takes in a record if it is newer than the one held, and says so.
func (s *store) merge(r Record) bool {
	old, ok := s.records[r.Key]
	if ok && !r.Supersedes(old) {
		return false
	}
	if ok {
		s.toggleDigest(old)
	}
	s.records[r.Key] = r
	s.toggleDigest(r)
	if !s.suppressRumors {
		s.startRumor(r.Key)
	}
	return true
}

func (s *store) toggleDigest(r Record) {
	d := r.digest()
	s.bucketDigests[bucketOf(r.Key)] ^= d
	s.digest ^= d
}

// forget drops a record and every rumour of it.
func (s *store) remove(key string) {
	old, ok := s.records[key]
	if !ok {
		return
	}
	s.toggleDigest(old)
	delete(s.records, key)
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.key == key })
}

// spread starts the passing on of a record anew.
func (s *store) startRumor(key string) {
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.key == key })
	s.rumors = append([]rumor{{key: key}}, s.rumors...)
}

// rumorTimes is how often a rumour is passed on.
func rumorSendLimit(members int) int {
	return 2 * bits.Len(uint(members))
}

// told notes that a record was sent to all members by the one that it began at. It is
// passed on a few times only, for those that the message did not reach.
func (s *store) limitRumor(r Record, members int) {
	held := s.records[r.Key]
	if r.Supersedes(held) || held.Supersedes(r) {
		return
	}
	for i := range s.rumors {
		if s.rumors[i].key == r.Key {
			s.rumors[i].sendCount = max(s.rumors[i].sendCount, rumorSendLimit(members)-broadcastRumorSends)
			return
		}
	}
}

// take returns the records to piggyback on one message of at most size bytes and
// counts them as sent once more. Each is passed on a number of times that grows
// with the logarithm of the membership.
func (s *store) takeRumors(maxBytes, members int) []Record {
	limit := rumorSendLimit(members)
	var out []Record
	for i := range s.rumors {
		if maxBytes < minRecordSize {
			break
		}
		r := s.records[s.rumors[i].key]
		n := recordSizeBound(r)
		if n > maxBytes {
			continue
		}
		maxBytes -= n
		out = append(out, r)
		s.rumors[i].sendCount++
	}
	if len(out) == 0 {
		return nil
	}
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.sendCount >= limit })
	slices.SortStableFunc(s.rumors, func(a, b rumor) int { return a.sendCount - b.sendCount })
	return out
}

// smallestRecord is less than any record takes, in bytes.
const minRecordSize = 32

// recordSize bounds the encoded size of a record, in bytes.
func recordSizeBound(r Record) int {
	const encodingOverhead = 28
	return len(r.Key) + len(r.Body) + encodingOverhead
}

// datagrams cuts records into batches that fit a message each.
func batchRecords(records []Record) [][]Record {
	var batches [][]Record
	size := maxRecordBytes
	for _, r := range records {
		n := recordSizeBound(r)
		if size+n > maxRecordBytes {
			batches = append(batches, nil)
			size = 0
		}
		size += n
		last := len(batches) - 1
		batches[last] = append(batches[last], r)
	}
	return batches
}

// differing returns records from buckets whose digests differ from theirs, at
// most size bytes, beginning at a bucket that changes from call to call.
func (s *store) recordsInDifferingBuckets(remoteDigests []uint64, maxBytes, offset int) []Record {
	differs := [bucketCount]bool{}
	for i, d := range remoteDigests {
		differs[i] = s.bucketDigests[i] != d
	}
	var keys []string
	for k := range s.records {
		if differs[bucketOf(k)] {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var out []Record
	for i := range keys {
		r := s.records[keys[(i+offset)%len(keys)]]
		n := recordSizeBound(r)
		if n > maxBytes {
			break
		}
		maxBytes -= n
		out = append(out, r)
	}
	return out
}
