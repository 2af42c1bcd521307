package agent

import (
	"sync"
	"time"

	"bergamotwing.example/release"
	"bergamotwing.example/wire"
)

// permission keeps the newest vouch heard: of the highest version, and for it
// the latest echo. A vouch for a version above the one in force stops starts
// until that configuration is adopted.
type permission struct {
	mu     sync.Mutex
	newest wire.Vouch
}

// hear takes a vouch into account. Echoes from the future are ignored.
func (p *permission) hear(v wire.Vouch, now time.Duration) {
	if v.Echo <= 0 || v.Echo > now.Milliseconds() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	higher := v.Version > p.newest.Version
	later := v.Version == p.newest.Version && v.Echo > p.newest.Echo
	if higher || later {
		p.newest = v
	}
}

// remaining returns how long starts are still permitted under version; it is
// not positive once the permission has lapsed.
func (p *permission) remaining(version uint64, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == 0 || p.newest.Version != version {
		return 0
	}
	end := time.Duration(p.newest.Echo)*time.Millisecond + release.PermissionLifetime
	return end - now
}

// age returns the time since the moment that was last vouched for.
func (p *permission) age(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now - time.Duration(p.newest.Echo)*time.Millisecond
}
