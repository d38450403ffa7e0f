// Package capacity contains the benchmarks whose results docs/CAPACITY.md uses.
// Each one measures the cost of one task of a node at several sizes, so that its
// output shows how the cost grows with the size. The package has no code outside
// its tests.
package capacity
