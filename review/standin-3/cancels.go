package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["cancels"] = cancelsCase }

const (
	cancelJobs  = 12
	cancelEvery = 500 * time.Millisecond // between two tries of a client to cancel a job
	cancelWatch = 40 * time.Second       // for which the clients go on trying
)

// cancelsCase replaces an entry's machine as planned, the new one first, and has clients
// cancel accepted jobs once all machines are in touch again.
func cancelsCase(log *record, trouble bool) int {
	d, err := newDeployment(log, 3, 3)
	defer d.stop()
	if err == nil {
		err = d.waitReady(d.entries...)
	}
	if err != nil {
		log.add("not started: %v", err)
		return failed
	}
	if trouble {
		if err := d.replaceEntry(); err != nil {
			log.add("not replaced: %v", err)
			return failed
		}
	}
	jobs, ok := d.acceptedJobs()
	if !ok {
		return failed
	}
	return d.cancelAll(jobs)
}

// acceptedJobs waits for ContactMs, and hands in jobs that are answered with 2xx.
func (d *deployment) acceptedJobs() (jobs []string, ok bool) {
	d.log.add("nothing is disturbed from here on; clients hand in jobs after ContactMs, and cancel them")
	time.Sleep(contactMs * time.Millisecond)
	for i := range cancelJobs {
		id := newID()
		if status := d.submitAsClient(id, jobBody(1, 60), i, 5*time.Second); status != http.StatusOK {
			return nil, false
		}
		jobs = append(jobs, id)
	}
	return jobs, true
}

// replaceEntry adds an entry's machine at another address, stops the last of the others by
// SIGTERM, and removes it for good.
func (d *deployment) replaceEntry() error {
	old := d.entries[len(d.entries)-1]
	if err := d.addEntry(len(d.entries)); err != nil {
		return err
	}
	added := d.entries[len(d.entries)-1]
	d.log.add("machine %s (%s) is added", added.name, added.ip)
	if err := d.waitReady(added); err != nil {
		return err
	}
	d.log.add("machine %s (%s) gets SIGTERM", old.name, old.ip)
	_ = old.proc.cmd.Process.Signal(syscall.SIGTERM)
	<-old.proc.done
	if !old.proc.cmd.ProcessState.Success() {
		return fmt.Errorf("the process of %s ended with %v", old.name, old.proc.cmd.ProcessState)
	}
	d.log.add("the process of %s has ended; its machine is removed: its address does not answer", old.name)
	d.entries = append(d.entries[:len(d.entries)-2], added)
	return silence(addr(old.ip, linkPort), addr(old.ip, controlPort), addr(old.ip, clientPort))
}

// silence has addresses behave like those of a machine that is gone: nothing that is sent
// there is answered, connections neither.
func silence(addrs ...string) error {
	for _, a := range addrs {
		tcp, err := net.ResolveTCPAddr("tcp", a)
		if err != nil {
			return err
		}
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return os.NewSyscallError("socket", err)
		}
		_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		at := &syscall.SockaddrInet4{Port: tcp.Port}
		copy(at.Addr[:], tcp.IP.To4())
		if err := syscall.Bind(fd, at); err != nil {
			return os.NewSyscallError("bind", err)
		}
		if err := syscall.Listen(fd, 0); err != nil {
			return os.NewSyscallError("listen", err)
		}
		for range 4 { // once the queue is full, the kernel drops what opens a connection
			_, _ = net.DialTimeout("tcp", a, 200*time.Millisecond)
		}
	}
	return nil
}

type cancelled struct {
	job    string
	status int
	took   time.Duration // from the first try to the confirmation; 0: there was none
	tries  int
}

func (d *deployment) cancelAll(jobs []string) int {
	results := make(chan cancelled, len(jobs))
	for i, id := range jobs {
		go func() { results <- d.cancel(id, i, cancelWatch) }()
	}
	late := 0
	for range jobs {
		r := <-results
		if r.took == 0 || r.took > ackMs*time.Millisecond {
			late++
		}
		d.log.add("client: DELETE %s: last answer %d, confirmed after %.2f s (0: never), %d tries", r.job, r.status, r.took.Seconds(), r.tries)
	}
	d.log.add("Acks: %d of %d cancels of accepted jobs had no 2xx or 410 after AckMs", late, len(jobs))
	if late >= 3 && 10*late > len(jobs) {
		return broken
	}
	return held
}

// cancel cancels a job as a client does, at one entry after the other, until it is confirmed
// or the limit is over.
func (d *deployment) cancel(id string, first int, limit time.Duration) cancelled {
	r := cancelled{job: id}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(cancelEvery) {
		m := d.entries[(first+r.tries)%len(d.entries)]
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		var text string
		r.status, text = call(ctx, http.MethodDelete, addr(m.ip, clientPort), routeHost, prefix+id, "", 2*time.Second)
		cancel()
		r.tries++
		d.log.at(time.Now().UnixMicro(), "client: DELETE %s at %s: %d %s", id, m.name, r.status, text)
		if r.status/100 == 2 || r.status == http.StatusGone {
			r.took = max(time.Since(began), 1)
			return r
		}
	}
	return r
}
