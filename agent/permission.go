package agent

import (
	"sync"
	"time"

	"bergamotwing.example/release"
	"bergamotwing.example/wire"
)

// permission keeps the latest moment for which an entry has confirmed a version,
// and the highest version that any confirmation named.
//
// A confirmation states that no version later than its own had been accepted by
// its moment, so it applies to every configuration from that version on. A
// confirmation of a version above the one in force stops starts until that version
// is adopted.
type permission struct {
	mu      sync.Mutex
	highest uint64 // version
	echo    int64  // ms on this process's clock
}

// update applies a confirmation. One whose echo lies in the future is ignored.
func (p *permission) update(v wire.Confirmation, now time.Duration) {
	if v.Echo <= 0 || v.Echo > now.Milliseconds() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.highest = max(p.highest, v.Version)
	p.echo = max(p.echo, v.Echo)
}

// remaining returns how long starts are still permitted under version; it is
// not positive once the permission has lapsed.
func (p *permission) remaining(version uint64, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == 0 || version < p.highest || p.echo == 0 {
		return 0
	}
	return time.Duration(p.echo)*time.Millisecond + release.PermissionLifetime - now
}

// age returns the time since the latest confirmed moment.
func (p *permission) age(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now - time.Duration(p.echo)*time.Millisecond
}
