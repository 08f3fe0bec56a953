package balance

import "math/bits"

// sumTree is a Fenwick tree over integer weights: it changes one weight and
// finds the entry at a given prefix sum in logarithmic time.
type sumTree struct {
	weights []int64
	sums    []int64
	total   int64
}

func newSumTree(weights []int64) sumTree {
	t := sumTree{weights: weights, sums: make([]int64, len(weights)+1)}
	for i, w := range weights {
		t.total += w
		node := i + 1
		t.sums[node] += w
		if parent := node + node&-node; parent < len(t.sums) {
			t.sums[parent] += t.sums[node]
		}
	}
	return t
}

func (t *sumTree) set(i int, weight int64) {
	delta := weight - t.weights[i]
	if delta == 0 {
		return
	}
	t.weights[i] = weight
	t.total += delta
	for node := i + 1; node < len(t.sums); node += node & -node {
		t.sums[node] += delta
	}
}

// find returns the entry whose range of prefix sums contains x, for x from 0
// to below total.
func (t *sumTree) find(x int64) int {
	node := 0
	for step := 1 << bits.Len(uint(len(t.weights))); step > 0; step >>= 1 {
		if next := node + step; next < len(t.sums) && t.sums[next] <= x {
			node = next
			x -= t.sums[next]
		}
	}
	return node
}
