package gossiper

import (
	"math/bits"
	"slices"

	"almondpick/ranker"
)

// bucketCount is the number of buckets that keys are hashed to. All instances must use the
// same one, because they compare the digests bucket by bucket.
const bucketCount = 96

// rumor is a record that is still to be sent to other members.
type rumor struct {
	key       string
	sendCount int
}

// store holds the newest record of each key, a digest of each bucket of keys and of all keys,
// and the rumors that are still being sent, those with the lowest send count first.
type store struct {
	records        map[string]Record
	bucketDigests  [bucketCount]uint64
	rumors         []rumor
	digest         uint64
	suppressRumors bool // merge starts no rumors
}

func newStore() *store {
	return &store{records: make(map[string]Record)}
}

func bucketOf(key string) int {
	return int(ranker.Hash(key) % bucketCount)
}

// merge stores a record and starts a rumor of it, unless it does not supersede the stored
// record of the same key. It reports whether the record was stored.
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

// toggleDigest adds a record to the digests, or removes it: the digests are XORs.
func (s *store) toggleDigest(r Record) {
	d := r.digest()
	s.bucketDigests[bucketOf(r.Key)] ^= d
	s.digest ^= d
}

// remove deletes the record of a key and its rumor.
func (s *store) remove(key string) {
	old, ok := s.records[key]
	if !ok {
		return
	}
	s.toggleDigest(old)
	delete(s.records, key)
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.key == key })
}

// startRumor puts the record of a key first among the rumors, with a send count of 0.
func (s *store) startRumor(key string) {
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.key == key })
	s.rumors = append([]rumor{{key: key}}, s.rumors...)
}

// rumorSendLimit returns how often an instance sends a rumor in a group of the given size. It
// grows with the logarithm of the size.
func rumorSendLimit(members int) int {
	return 2 * bits.Len(uint(members))
}

// limitRumor limits the rumor of a record that its originating instance has sent to all
// members. The rumor is sent only broadcastRumorSends times, for members that the broadcast
// did not reach. Nothing is limited if another version of the record is stored.
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

// noteDuplicate reports whether a received record is the stored one. Its sender knows the record and so
// do others, so the duplicate counts as a send of the rumor: once most members know a record, most
// sends of it have no effect. Digest comparisons find the members that rumors have missed.
func (s *store) noteDuplicate(r Record) bool {
	held, ok := s.records[r.Key]
	if !ok || r.Supersedes(held) || held.Supersedes(r) {
		return false
	}
	if s.suppressRumors {
		return true
	}
	for i := range s.rumors {
		if s.rumors[i].key == r.Key {
			s.rumors[i].sendCount++
			break
		}
	}
	return true
}

// takeRumors returns the records of rumors to piggyback on one message, at most maxBytes in
// total, and increments their send counts. Rumors that reach rumorSendLimit are removed.
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

// minRecordSize is the space, in bytes, below which takeRumors looks for no further record.
// Every record with a body takes at least that much.
const minRecordSize = 32

// recordSizeBound returns an upper bound on the encoded size of a record, in bytes.
func recordSizeBound(r Record) int {
	const encodingOverhead = 28
	return len(r.Key) + len(r.Body) + encodingOverhead
}

// batchRecords splits records into batches that fit into one message each.
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

// recordsInDifferingBuckets returns records, at most maxBytes in total, from the buckets whose
// digests differ from remoteDigests. The keys of these buckets are sorted, and offset selects
// the key to begin with: callers vary it, so that repeated calls cover all records.
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
