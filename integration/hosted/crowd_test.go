package hosted

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

// The crowd, and the limits that the settings of these tests state. They are fixed: no
// change of the product changes them.
const (
	crowdSize     = 400
	crowdMemoryMb = 128
	crowdMaxFds   = 512
	reservedFds   = 200 // of MaxFds, for files

	crowdBody   = 256 << 10 // the largest body that a client may send
	crowdHeader = 900 << 10 // of a header that does not end
	crowdAhead  = 512 << 10 // of requests that are sent ahead
	crowdFar    = 4 << 20   // sent of a body of crowdFarSaid
	crowdSaid   = 1 << 30   // length that a body far over the limit announces
	smallPiece  = 16 << 10

	crowdSaidFrame = 8 << 20 // length that a message on a link announces

	crowdWriteTime = 2 * time.Second        // a client gives up writing after it
	crowdStays     = 300 * time.Millisecond // clients stay after all have written
	crowdSample    = 10 * time.Millisecond
	afterCrowd     = 20 * time.Second // within which one request is answered
	metricsPort    = 9464
)

// crowdKind is what each client of a crowd sends on its connection, in parts.
type crowdKind struct {
	name  string
	parts func(path string) [][]byte
}

func requestLine(method, path, fields string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + routeHost + "\r\n" + fields
}

func sized(path string, said int, body []byte) [][]byte {
	head := requestLine("POST", path, fmt.Sprintf("Content-Length: %d\r\n\r\n", said))
	return [][]byte{append([]byte(head), body...)}
}

// shortFields returns very many fields of a header, without its end.
var shortFields = sync.OnceValue(func() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < crowdHeader; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.Bytes()
})

var crowdKinds = []crowdKind{
	{"bodies in one piece that stop short", func(path string) [][]byte {
		return sized(path, crowdBody, bytes.Repeat([]byte(" "), crowdBody-1))
	}},
	{"bodies in small pieces that stop short", func(path string) [][]byte {
		parts := sized(path, crowdBody, nil)
		for range crowdBody/smallPiece - 1 {
			parts = append(parts, bytes.Repeat([]byte(" "), smallPiece))
		}
		return parts
	}},
	{"bodies in chunks that stop short", func(path string) [][]byte {
		parts := make([][]byte, crowdBody/smallPiece)
		parts[0] = []byte(requestLine("POST", path, "Transfer-Encoding: chunked\r\n\r\n"))
		for i := range parts[1:] {
			parts[i+1] = fmt.Appendf(nil, "%x\r\n%s\r\n", smallPiece, strings.Repeat(" ", smallPiece))
		}
		return parts
	}},
	{"bodies far over the limit", func(path string) [][]byte {
		return sized(path, crowdSaid, bytes.Repeat([]byte(" "), crowdFar))
	}},
	{"bodies of very many short fields", func(path string) [][]byte {
		body := `{"Spec":"1","BestEffort":true,"Steps":[` + strings.Repeat("{},", crowdBody/3-32) + `{}]}`
		return sized(path, len(body), []byte(body))
	}},
	{"bodies of very many steps", func(path string) [][]byte {
		body := `{"Spec":"1","BestEffort":true,"Steps":[` + strings.Repeat(`{"Count":1},`, crowdBody/12-32) + `{"Count":1}]}`
		return sized(path, len(body), []byte(body))
	}},
	{"headers of very many short fields that do not end", func(path string) [][]byte {
		return [][]byte{[]byte(requestLine("GET", path, "")), shortFields()}
	}},
	{"requests sent ahead whose answers are not read", func(path string) [][]byte {
		return [][]byte{bytes.Repeat([]byte(requestLine("GET", path, "\r\n")), crowdAhead/len(requestLine("GET", path, "\r\n")))}
	}},
	{"requests that stop half-way", func(path string) [][]byte {
		return [][]byte{[]byte(requestLine("GET", path, "X-Half"))}
	}},
	{"links whose first message does not end", func(path string) [][]byte {
		upgrade := requestLine("GET", path, "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n")
		// A masked binary frame of crowdSaidFrame bytes, with a mask of zeros.
		frame := binary.BigEndian.AppendUint64([]byte{0x82, 0xff}, crowdSaidFrame)
		return [][]byte{[]byte(upgrade), append(append(frame, 0, 0, 0, 0), make([]byte, crowdFar)...)}
	}},
	{"connections without a request", func(string) [][]byte { return nil }},
}

// crowdTarget is a listener and the path that a crowd names there.
type crowdTarget struct {
	name, path string
	port       int
	agent      bool // of the agent, not of the entry
}

var crowdTargets = []crowdTarget{
	{"clients", prefix + "%016x", fake.ClientPort, false},
	{"clients without a route", "/nowhere/%016x", fake.ClientPort, false},
	{"ready", "/-/ready", fake.ReadyPort, false},
	{"links", "/link/node", fake.LinkPort, false},
	{"control of an entry", "/-/instances/i-%x", fake.ControlPort, false},
	{"metrics of an entry", "/metrics", metricsPort, false},
	{"control of an agent", "/-/instances/i-%x", fake.ControlPort, true},
	{"metrics of an agent", "/metrics", metricsPort, true},
}

// Crowds of clients that do not stay inside the limits neither end a process nor have it
// use more than the memory and the descriptors of its machine, and jobs are served
// afterwards.
func TestACrowdLeavesAProcessWithinItsMachine(t *testing.T) {
	for _, target := range crowdTargets {
		t.Run(target.name, func(t *testing.T) {
			c := Start(t, Options{Entries: 1, Agents: 1, MemoryMb: crowdMemoryMb, MaxFds: crowdMaxFds, MetricsPort: metricsPort})
			host := c.Entries[0]
			if target.agent {
				host = c.Agents[0]
			}
			for _, kind := range crowdKinds {
				t.Run(kind.name, func(t *testing.T) {
					most := runCrowd(host, target, kind)
					t.Logf("at most %d MB and %d descriptors", most.memory>>20, most.fds)
					if !host.Running() {
						t.Fatal("the process has ended")
					}
					if most.memory > crowdMemoryMb<<20 {
						t.Errorf("%d MB of memory, the machine has %d", most.memory>>20, crowdMemoryMb)
					}
					if most.fds > crowdMaxFds-reservedFds {
						t.Errorf("%d descriptors, the machine has %d", most.fds, crowdMaxFds-reservedFds)
					}
					harness.Eventually(t, afterCrowd, "a job is served", func() bool {
						return c.Entries[0].Ready() && c.Submit(c.Entries[0], NewJobID(), fake.Tasks(2, 20)).Completed()
					})
				})
			}
		})
	}
}

// usage is what a process holds of its machine.
type usage struct{ memory, fds int }

// usageOf reads a process's resident bytes and open descriptors; both are 0 once it has
// ended.
func usageOf(pid int) (u usage) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, _ := os.ReadFile(filepath.Join(dir, "status"))
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	if fields := strings.Fields(rest); len(fields) > 0 {
		kib, _ := strconv.Atoi(fields[0])
		u.memory = kib << 10
	}
	fds, _ := os.ReadDir(filepath.Join(dir, "fd"))
	u.fds = len(fds)
	return u
}

// runCrowd has a crowd send, stay and leave, and returns the most that the process held
// meanwhile.
func runCrowd(host *Host, target crowdTarget, kind crowdKind) (most usage) {
	leave := make(chan struct{})
	var sent, gone sync.WaitGroup
	for i := range crowdSize {
		sent.Add(1)
		gone.Go(func() {
			path := target.path
			if strings.Contains(path, "%") {
				path = fmt.Sprintf(path, i)
			}
			conn, err := net.DialTimeout("tcp", fake.Addr(host.IP, target.port), crowdWriteTime)
			if err == nil {
				defer func() { _ = conn.Close() }()
				sendParts(conn, kind.parts(path))
			}
			sent.Done()
			<-leave
		})
	}
	go func() {
		sent.Wait()
		time.Sleep(crowdStays)
		close(leave)
	}()
	for {
		u := usageOf(host.PID())
		most = usage{max(most.memory, u.memory), max(most.fds, u.fds)}
		select {
		case <-leave:
			gone.Wait()
			return most
		case <-time.After(crowdSample):
		}
	}
}

// sendParts writes until all is sent, the other side closes the connection or
// crowdWriteTime has passed.
func sendParts(conn net.Conn, parts [][]byte) {
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTime))
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return
		}
	}
}

const (
	redialing   = 100 // clients that come back whenever their connection is closed
	redialPause = 10 * time.Millisecond
)

// keepComing has clients stop half-way in a request, and come back whenever they are
// disconnected, until the test ends.
func keepComing(t *testing.T, host *Host, port int) {
	t.Helper()
	var clients sync.WaitGroup
	leave := make(chan struct{})
	t.Cleanup(func() { close(leave); clients.Wait() })
	for range redialing {
		clients.Go(func() {
			for {
				if conn, err := net.DialTimeout("tcp", fake.Addr(host.IP, port), crowdWriteTime); err == nil {
					stay(conn, leave)
				}
				select {
				case <-leave:
					return
				case <-time.After(redialPause):
				}
			}
		})
	}
}

// stay sends half a request and keeps the connection until the other side closes it or
// the client is to leave.
func stay(conn net.Conn, leave <-chan struct{}) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = conn.Read(make([]byte, 1))
	}()
	sendParts(conn, [][]byte{[]byte(requestLine("POST", "/", "Content-Length: 9\r\n\r\n"))})
	select {
	case <-leave:
	case <-closed:
	}
	_ = conn.Close()
	<-closed
}

// While a crowd fills the listener of clients, probes are answered and links are made.
// While one fills the listener of links, an agent links again.
func TestOtherListenersServeBesideACrowd(t *testing.T) {
	for _, crowd := range []struct {
		name string
		port int
	}{{"clients", fake.ClientPort}, {"links", fake.LinkPort}} {
		t.Run(crowd.name, func(t *testing.T) {
			c := Start(t, Options{Entries: 1, Agents: 1, MemoryMb: crowdMemoryMb, MaxFds: crowdMaxFds})
			keepComing(t, c.Entries[0], crowd.port)
			c.Agents[0].Restart(t)
			harness.Eventually(t, afterCrowd, "a job is served", func() bool {
				return c.Entries[0].Ready() && c.Submit(c.Entries[0], NewJobID(), fake.Tasks(2, 20)).Completed()
			})
			if u := usageOf(c.Entries[0].PID()); u.fds > crowdMaxFds-reservedFds {
				t.Errorf("%d descriptors", u.fds)
			}
		})
	}
}
