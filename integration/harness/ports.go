package harness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are below the system's range for outgoing connections, so that no
// outgoing connection takes the port of a process before it is restarted.
const (
	firstPort = 10000
	portRange = 20000
)

var nextPort atomic.Int64

// FreeAddr returns a loopback address and port that nothing listens on. Each test
// binary has its own loopback address, so that concurrent test binaries do not
// take the port of a process that is about to be restarted.
func FreeAddr(t testing.TB) string {
	t.Helper()
	for range portRange {
		port := firstPort + nextPort.Add(1)%portRange
		addr := fmt.Sprintf("%s:%d", Loopback(), port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		return addr
	}
	t.Fatal("no free port")
	return ""
}

// Loopback returns this test binary's loopback address, which is derived from its
// process id.
func Loopback() net.IP {
	pid := os.Getpid()
	return net.IPv4(127, byte(pid>>15), byte(pid>>7), byte(pid<<1)|1) //nolint:gosec // the low bytes are meant
}
