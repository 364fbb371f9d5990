package gossiper

import (
	"math/bits"
	"slices"

	"almondpick/ranker"
)

const bucketCount = 96

// rumor is a record that is still being passed on.
type rumor struct {
	key  string
	sent int
}

// store holds the newest record of each key, a digest of each bucket of keys, and
// the rumours that are under way, least sent first.
type store struct {
	records map[string]Record
	buckets [bucketCount]uint64
	rumors  []rumor
	digest  uint64
	quiet   bool // what is merged is no rumour
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
		s.mix(old)
	}
	s.records[r.Key] = r
	s.mix(r)
	if !s.quiet {
		s.spread(r.Key)
	}
	return true
}

func (s *store) mix(r Record) {
	d := r.digest()
	s.buckets[bucketOf(r.Key)] ^= d
	s.digest ^= d
}

// forget drops a record and every rumour of it.
func (s *store) forget(key string) {
	old, ok := s.records[key]
	if !ok {
		return
	}
	s.mix(old)
	delete(s.records, key)
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.key == key })
}

// spread starts the passing on of a record anew.
func (s *store) spread(key string) {
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.key == key })
	s.rumors = append([]rumor{{key: key}}, s.rumors...)
}

// rumorTimes is how often a rumour is passed on.
func rumorTimes(members int) int {
	return 2 * bits.Len(uint(members))
}

// told notes that a record was sent to all members by the one that it began at. It is
// passed on a few times only, for those that the message did not reach.
func (s *store) told(r Record, members int) {
	held := s.records[r.Key]
	if r.Supersedes(held) || held.Supersedes(r) {
		return
	}
	for i := range s.rumors {
		if s.rumors[i].key == r.Key {
			s.rumors[i].sent = max(s.rumors[i].sent, rumorTimes(members)-newsRepeats)
			return
		}
	}
}

// take returns the records to piggyback on one message of at most size bytes and
// counts them as sent once more. Each is passed on a number of times that grows
// with the logarithm of the membership.
func (s *store) take(size, members int) []Record {
	times := rumorTimes(members)
	var out []Record
	for i := range s.rumors {
		if size < smallestRecord {
			break
		}
		r := s.records[s.rumors[i].key]
		n := recordSize(r)
		if n > size {
			continue
		}
		size -= n
		out = append(out, r)
		s.rumors[i].sent++
	}
	if len(out) == 0 {
		return nil
	}
	s.rumors = slices.DeleteFunc(s.rumors, func(r rumor) bool { return r.sent >= times })
	slices.SortStableFunc(s.rumors, func(a, b rumor) int { return a.sent - b.sent })
	return out
}

// smallestRecord is less than any record takes, in bytes.
const smallestRecord = 32

// recordSize bounds the encoded size of a record, in bytes.
func recordSize(r Record) int {
	const overhead = 28
	return len(r.Key) + len(r.Body) + overhead
}

// datagrams cuts records into batches that fit a message each.
func datagrams(records []Record) [][]Record {
	var batches [][]Record
	size := maxDatagram
	for _, r := range records {
		n := recordSize(r)
		if size+n > maxDatagram {
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
func (s *store) differing(theirs []uint64, size, start int) []Record {
	wanted := [bucketCount]bool{}
	for i, d := range theirs {
		wanted[i] = s.buckets[i] != d
	}
	var keys []string
	for k := range s.records {
		if wanted[bucketOf(k)] {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var out []Record
	for i := range keys {
		r := s.records[keys[(i+start)%len(keys)]]
		n := recordSize(r)
		if n > size {
			break
		}
		size -= n
		out = append(out, r)
	}
	return out
}
