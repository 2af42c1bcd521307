package load

import (
	"container/heap"
	"time"
)

// CentralQueue returns the response time that each job would have if a single
// first-come, first-served queue fed all slots, without network delay. Arrivals
// must be in order of time.
func CentralQueue(arrivals []Arrival, slots int) []time.Duration {
	free := make(freeTimes, slots)
	responses := make([]time.Duration, len(arrivals))
	for i, a := range arrivals {
		for _, task := range a.Tasks {
			end := max(free[0], a.At) + task.Run
			free[0] = end
			heap.Fix(&free, 0)
			responses[i] = max(responses[i], end-a.At)
		}
	}
	return responses
}

// ideal returns the ideal response time of each job: that of a central queue per
// service, plus an allowance for the network.
func ideal(arrivals []Arrival, slots map[string]int, network time.Duration) []time.Duration {
	byService := map[string][]int{}
	for i, a := range arrivals {
		byService[a.Service] = append(byService[a.Service], i)
	}
	responses := make([]time.Duration, len(arrivals))
	for service, indexes := range byService {
		own := make([]Arrival, len(indexes))
		for n, i := range indexes {
			own[n] = arrivals[i]
		}
		for n, r := range CentralQueue(own, slots[service]) {
			responses[indexes[n]] = r + network
		}
	}
	return responses
}

// freeTimes is a heap of the times at which slots become free.
type freeTimes []time.Duration

// Len is part of heap.Interface.
func (f freeTimes) Len() int { return len(f) }

// Less is part of heap.Interface.
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }

// Swap is part of heap.Interface.
func (f freeTimes) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push is part of heap.Interface; the number of slots is fixed.
func (f *freeTimes) Push(x any) { *f = append(*f, x.(time.Duration)) }

// Pop is part of heap.Interface; the number of slots is fixed.
func (f *freeTimes) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}
