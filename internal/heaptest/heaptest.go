// Package heaptest measures the memory of tests. It has no state.
package heaptest

import (
	"runtime"
	"sync"
	"time"
)

// SmallestHost is the memory of the smallest hosts in bytes.
const SmallestHost = 112 << 20

// sampleInterval is the interval at which the size of the heap is read.
const sampleInterval = 10 * time.Millisecond

// PeakGrowth runs f and returns by how many bytes the heap grew at most meanwhile.
func PeakGrowth(f func()) uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	before, peak := stats.HeapInuse, stats.HeapInuse
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapInuse)
		}
	})
	f()
	close(done)
	wg.Wait()
	return peak - before
}
