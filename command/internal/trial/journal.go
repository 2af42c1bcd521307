package trial

import "sync"

// journal collects the records of finished jobs under the current phase.
type journal struct {
	mu      sync.Mutex
	phase   string
	order   []string
	records []*record
}

func (j *journal) enter(phase string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.phase = phase
	j.order = append(j.order, phase)
}

func (j *journal) current() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.phase
}

func (j *journal) add(r *record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, r)
}
