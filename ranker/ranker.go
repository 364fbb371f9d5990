// Package ranker orders nodes for a key by rendezvous hashing (highest random
// weight): the node with the highest score for the key ranks first. Every process
// that knows the same nodes computes the same order, and when a node is added or
// removed only the keys that rank it first are affected.
package ranker

import "github.com/cespare/xxhash/v2"

// Hash returns the 64-bit hash of a name, which identifies a node in Score.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Score returns the score of node for key. The scores of one node over many keys,
// and of one key over many nodes, are uniform and independent. Score applies the
// finalizer of SplitMix64, a 64-bit mixing hash, to the combined input.
func Score(key, node uint64) uint64 {
	x := key ^ (node * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Best returns the index of the node that ranks first for key, or -1 when nodes
// is empty. Of two nodes with the same score, the one with the higher hash ranks
// first, so that the order of the slice does not matter.
func Best(key uint64, nodes []uint64) int {
	best := -1
	var topScore uint64
	for i, n := range nodes {
		s := Score(key, n)
		if best < 0 || s > topScore || (s == topScore && n > nodes[best]) {
			best = i
			topScore = s
		}
	}
	return best
}

// BestTwo returns the indexes of the nodes that rank first and second for key.
// An index is -1 where there are too few nodes.
func BestTwo(key uint64, nodes []uint64) (int, int) {
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i, n := range nodes {
		s := Score(key, n)
		switch {
		case first < 0 || s > firstScore || (s == firstScore && n > nodes[first]):
			second, secondScore = first, firstScore
			first, firstScore = i, s
		case second < 0 || s > secondScore || (s == secondScore && n > nodes[second]):
			second, secondScore = i, s
		}
	}
	return first, second
}
