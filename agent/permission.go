package agent

import (
	"sync"
	"time"

	"bergamotwing.example/release"
	"bergamotwing.example/wire"
)

// permission keeps the latest moment that an entry has vouched for and the
// highest version that any vouch named.
//
// A vouch for a version says that no later one had been accepted by its moment,
// so it holds for every configuration from that version on. A vouch for a
// version above the one in force stops starts until that one is adopted.
type permission struct {
	mu      sync.Mutex
	highest uint64 // version
	echo    int64  // ms on this process's clock
}

// hear takes a vouch into account. Echoes from the future are ignored.
func (p *permission) hear(v wire.Confirmation, now time.Duration) {
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

// age returns the time since the moment that was last vouched for.
func (p *permission) age(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now - time.Duration(p.echo)*time.Millisecond
}
