package harness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are taken from below the range that the system gives to outgoing
// connections, so that a process can be restarted on the port it had.
const (
	firstPort = 10000
	portRange = 20000
)

var nextPort atomic.Int64

// FreeAddr returns a loopback address that nothing listens on. Test binaries
// that run at the same time use loopback addresses of their own, so that none
// takes a port whose process is about to be restarted.
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

// Loopback returns this test binary's loopback address.
func Loopback() net.IP {
	pid := os.Getpid()
	return net.IPv4(127, byte(pid>>15), byte(pid>>7), byte(pid<<1)|1) //nolint:gosec // the low bytes are meant
}
