package entry

import "time"

// maxDeleted is how many ids of deleted jobs are kept: some 8 MB, for 800 DELETEs a second
// over the usual time for which the platform keeps jobs.
const maxDeleted = 100_000

// jobKey is a job's id, which has 16 characters, without a pointer.
type jobKey [16]byte

func keyOfJob(id string) (key jobKey) {
	copy(key[:], id)
	return key
}

func (k jobKey) String() string {
	n := len(k)
	for n > 0 && k[n-1] == 0 {
		n--
	}
	return string(k[:n])
}

// deletedJobs holds the ids of deleted jobs for a time.
type deletedJobs struct {
	until map[jobKey]time.Duration
	order []deletedID // each id once, in the order in which they are looked at
}

type deletedID struct {
	job jobKey
	due time.Duration // when it is dropped, unless it was added again
}

// add keeps an id, and reports whether there was room for it. None is dropped to make room:
// its DELETE may have been acknowledged.
func (d *deletedJobs) add(id string, until time.Duration) bool {
	job := keyOfJob(id)
	if old, known := d.until[job]; known {
		d.until[job] = max(old, until)
		return true
	}
	if len(d.order) >= maxDeleted {
		return false
	}
	if d.until == nil {
		d.until = map[jobKey]time.Duration{}
	}
	d.until[job] = until
	d.order = append(d.order, deletedID{job, until})
	return true
}

func (d *deletedJobs) has(now time.Duration, id string) bool {
	until, ok := d.until[keyOfJob(id)]
	return ok && now <= until
}

// expire drops the ids whose time is over. One that another entry has sent may come after
// one that is kept for longer, and is dropped together with it.
func (d *deletedJobs) expire(now time.Duration) {
	for len(d.order) > 0 && now > d.order[0].due {
		job := d.order[0].job
		d.order = d.order[1:]
		if until := d.until[job]; until >= now {
			d.order = append(d.order, deletedID{job, until})
			continue
		}
		delete(d.until, job)
	}
	if len(d.order) == 0 {
		d.order = nil
	}
}
