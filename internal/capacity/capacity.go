// Package capacity holds the benchmarks behind docs/CAPACITY.md. Each one
// measures the cost of one duty of a node at several sizes, so that the slope
// can be read from its output. The package has no code of its own.
package capacity
