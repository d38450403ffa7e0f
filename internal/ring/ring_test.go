package ring

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// TestOrderAndOverflow guards against lost or reordered values when the ring
// wraps around, and against a full ring that accepts a value or does not count
// the rejection. It compares the ring with a slice over random operations.
func TestOrderAndOverflow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New[int](rapid.IntRange(1, 5).Draw(t, "capacity"))
		var model []int
		var dropped uint64
		for i := range 60 {
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				if want := len(model) < r.Cap(); r.TryPush(i) != want {
					t.Fatalf("TryPush with %d of %d values returned %v", len(model), r.Cap(), !want)
				} else if want {
					model = append(model, i)
				} else {
					dropped++
				}
			case 2:
				if len(model) > 0 {
					if v, _ := r.Pop(context.Background()); v != model[0] {
						t.Fatalf("popped %d, want %d", v, model[0])
					}
					model = model[1:]
				}
			case 3:
				if len(model) > 0 {
					got, _ := r.PopAll(context.Background(), nil)
					if len(got) != len(model) || got[0] != model[0] || got[len(got)-1] != model[len(model)-1] {
						t.Fatalf("popped %v, want %v", got, model)
					}
					model = nil
				}
			case 4:
				if got := r.TryPopAll(nil); !slices.Equal(got, model) {
					t.Fatalf("popped %v, want %v", got, model)
				}
				model = nil
			}
			if r.Len() != len(model) || r.Dropped() != dropped {
				t.Fatalf("length %d, dropped %d; want %d, %d", r.Len(), r.Dropped(), len(model), dropped)
			}
		}
	})
}

// TestManyProducersAndConsumers guards against lost wake-ups, which would leave
// a sender or receiver blocked for good; synctest reports that as a deadlock.
func TestManyProducersAndConsumers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const senders, receivers, each = 8, 5, 200
		r := New[int](3)
		var pushing, popping sync.WaitGroup
		var mu sync.Mutex
		sum := 0
		for range senders {
			pushing.Go(func() {
				for i := 1; i <= each; i++ {
					if err := r.Push(t.Context(), i); err != nil {
						t.Error(err)
					}
				}
			})
		}
		for c := range receivers {
			popping.Go(func() {
				var buf []int
				for {
					var err error
					if c%2 == 0 {
						buf, err = r.PopAll(context.Background(), buf[:0])
					} else {
						var v int
						v, err = r.Pop(context.Background())
						buf = append(buf[:0], v)
					}
					if err != nil {
						return
					}
					mu.Lock()
					for _, v := range buf {
						sum += v
					}
					mu.Unlock()
				}
			})
		}
		pushing.Wait()
		r.Close()
		popping.Wait()
		if want := senders * each * (each + 1) / 2; sum != want {
			t.Fatalf("sum of popped values is %d, want %d", sum, want)
		}
	})
}

// TestCloseAndCancel guards against goroutines that stay blocked after their
// context ends or the ring closes, and against a closed ring that loses the
// values it still holds.
func TestCloseAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New[int](1)
		ctx, cancel := context.WithCancel(t.Context())
		errs := make(chan error, 2)
		go func() { _, err := r.Pop(ctx); errs <- err }()
		synctest.Wait()
		cancel()
		if err := <-errs; !errors.Is(err, context.Canceled) {
			t.Fatalf("cancelled Pop returned %v", err)
		}
		r.TryPush(7)
		go func() { errs <- r.Push(context.Background(), 8) }()
		synctest.Wait()
		r.Close()
		if err := <-errs; !errors.Is(err, ErrClosed) {
			t.Fatalf("Push to closed ring returned %v", err)
		}
		if v, err := r.Pop(context.Background()); v != 7 || err != nil {
			t.Fatalf("closed ring delivered %d, %v", v, err)
		}
		if _, err := r.Pop(context.Background()); !errors.Is(err, ErrClosed) {
			t.Fatalf("empty closed ring returned %v", err)
		}
	})
}

func BenchmarkTryPushPop(b *testing.B) {
	r := New[[4]uint64](256)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		r.TryPush([4]uint64{})
		_, _ = r.Pop(ctx)
	}
}

func BenchmarkPushPopAllTwoGoroutines(b *testing.B) {
	r := New[[4]uint64](256)
	ctx := context.Background()
	done := make(chan struct{})
	go func() {
		defer close(done)
		var buf [][4]uint64
		for {
			var err error
			if buf, err = r.PopAll(ctx, buf[:0]); err != nil {
				return
			}
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		_ = r.Push(ctx, [4]uint64{})
	}
	r.Close()
	<-done
}
