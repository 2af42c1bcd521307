package main

import (
	"net/http"
	"time"
)

// acknowledged reports whether an answer to a DELETE confirms it.
func acknowledged(a answer) bool {
	return a.status >= 200 && a.status < 300 || a.status == http.StatusGone
}

// lateDuplicate cancels a job, and delivers its POST a second time, seconds after it was
// answered with 200.
func lateDuplicate(d *deployment, trouble bool) int {
	id, body := newID(), steps(1, 2, 1500*time.Millisecond, 3000)
	posted := make(chan answer, 1)
	go func() { posted <- d.submit(d.entries[0], id, body, 5*time.Second) }()
	time.Sleep(300 * time.Millisecond)
	cancelled := d.cancel(d.entries[1], id)
	first := <-posted
	if !acknowledged(cancelled) || first.status != http.StatusOK {
		return notPlayed
	}
	time.Sleep(7*time.Second - (d.rec.now() - first.at))
	if trouble {
		d.rec.note("trouble  the POST arrives a second time")
		d.submit(d.entries[2], id, body, 5*time.Second)
	} else {
		time.Sleep(2 * time.Second)
	}
	return checkCancelled(d, id, cancelled.at)
}

// cutEntry partitions one entry from the others. A client of another entry cancels its job
// by a DELETE that reaches the one that is cut off.
func cutEntry(d *deployment, trouble bool) int {
	far := d.entries[2]
	if trouble {
		d.rec.note("trouble  %s is partitioned from the other entries", far.name)
		d.net.setCut(func(a, b string) bool {
			return a == far.name && isEntry(b) || b == far.name && isEntry(a)
		})
		time.AfterFunc(cutTime, func() {
			d.rec.note("trouble  the partition ends")
			d.net.setCut(nil)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	id := newID()
	posted := make(chan answer, 1)
	go func() { posted <- d.submit(d.entries[0], id, steps(30, 2, 400*time.Millisecond, 3000), 20*time.Second) }()
	time.Sleep(time.Second)
	d.rec.note("ready    %s answers that it is ready: %v", far.name, d.ready(far))
	cancelled := d.cancel(far, id)
	<-posted
	if !acknowledged(cancelled) {
		d.rec.note("judged   the DELETE was not acknowledged")
		return held
	}
	time.Sleep(cancelTime + 2*time.Second - (d.rec.now() - cancelled.at))
	return checkCancelled(d, id, cancelled.at)
}

const cutTime = 11 * time.Second

func isEntry(name string) bool { return len(name) > 5 && name[:5] == "front" }

// killedEntries kills all entries shortly after a cancelling was acknowledged, and starts
// them again. The job's POST arrives a second time seconds after it was answered with 200.
func killedEntries(d *deployment, trouble bool) int {
	id, body := newID(), steps(1, 2, 1500*time.Millisecond, 3000)
	posted := make(chan answer, 1)
	go func() { posted <- d.submit(d.entries[0], id, body, 5*time.Second) }()
	time.Sleep(300 * time.Millisecond)
	cancelled := d.cancel(d.entries[1], id)
	first := <-posted
	if !acknowledged(cancelled) || first.status != http.StatusOK {
		return notPlayed
	}
	if trouble {
		for _, m := range d.entries {
			d.kill(m)
		}
		time.Sleep(time.Second)
		for _, m := range d.entries {
			if err := d.start(m); err != nil {
				return notPlayed
			}
		}
	}
	time.Sleep(4200*time.Millisecond - (d.rec.now() - first.at))
	d.rec.note("         the POST arrives a second time")
	d.submit(d.entries[2], id, body, 5*time.Second)
	return checkCancelled(d, id, cancelled.at)
}
