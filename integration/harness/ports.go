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
	firstPort   = 10000
	portRange   = 20000
	portsPerRun = 500
)

var nextPort atomic.Int64

// FreeAddr returns a loopback address that nothing listens on.
func FreeAddr(t testing.TB) string {
	t.Helper()
	base := int64(os.Getpid()) * portsPerRun
	for range portRange {
		port := firstPort + (base+nextPort.Add(1))%portRange
		addr := fmt.Sprintf("127.0.0.1:%d", port)
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
