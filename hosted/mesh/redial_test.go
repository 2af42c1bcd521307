package mesh_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

// firstLinkLimit is longer than a busy host takes for the first link.
const firstLinkLimit = 20 * time.Second

// closing closes each link as soon as it is made, and counts them.
type closing struct{ links atomic.Int32 }

func (c *closing) LinkUp(l *mesh.Link) {
	c.links.Add(1)
	l.Close()
}
func (*closing) LinkDown(*mesh.Link)               {}
func (*closing) Received(*mesh.Link, wire.Message) {}
func (*closing) Refused(string, time.Duration)     {}

// An entry closes the older of two links to the same process. If a list has two
// addresses of a process, the links to them replace each other.
func TestLinksThatEndAtOnceAreNotMadeAnewAtOnce(t *testing.T) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	newMesh := func(name string, events mesh.Events) *mesh.Mesh {
		hello := wire.NodeHello{Name: name, Role: wire.RoleEntry, Addr: name + ":1"}
		return mesh.New(hello, events, wire.Count(metrics), zerolog.Nop())
	}
	accepting, dialing := &closing{}, &closing{}
	server := httptest.NewServer(newMesh("b", accepting).Handler(t.Context()))
	t.Cleanup(server.Close)
	newMesh("a", dialing).SetTargets(t.Context(), []string{server.Listener.Addr().String()})
	for began := time.Now(); accepting.links.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > firstLinkLimit {
			t.Fatal("no link was made")
		}
	}
	time.Sleep(2 * time.Second)
	if n := accepting.links.Load(); n > 20 {
		t.Errorf("%d links in 2 s", n)
	} else {
		t.Logf("%d links in 2 s", n)
	}
}

// keeping keeps its links, and reports them.
type keeping struct{ up, down chan *mesh.Link }

func (k *keeping) LinkUp(l *mesh.Link)             { k.up <- l }
func (k *keeping) LinkDown(l *mesh.Link)           { k.down <- l }
func (*keeping) Received(*mesh.Link, wire.Message) {}
func (*keeping) Refused(string, time.Duration)     {}

// Runs and requests that rest on a link go on for less than a second after its loss.
func TestALinkIsMadeAnewSoonAfterItsLoss(t *testing.T) {
	const (
		rounds = 8
		outage = 400 * time.Millisecond
		limit  = 300 * time.Millisecond // two of the longest pauses
	)
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	newMesh := func(name string, events mesh.Events) *mesh.Mesh {
		hello := wire.NodeHello{Name: name, Role: wire.RoleAgent, Addr: name + ":1"}
		return mesh.New(hello, events, wire.Count(metrics), zerolog.Nop())
	}
	accepting := newMesh("b", &keeping{up: make(chan *mesh.Link, 100), down: make(chan *mesh.Link, 100)}).Handler(t.Context())
	var away atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if away.Load() {
			panic(http.ErrAbortHandler)
		}
		accepting.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	dialing := &keeping{up: make(chan *mesh.Link, 1), down: make(chan *mesh.Link, 1)}
	newMesh("a", dialing).SetTargets(t.Context(), []string{server.Listener.Addr().String()})
	link := <-dialing.up
	for round := range rounds {
		time.Sleep(150 * time.Millisecond) // a link that lasts
		away.Store(true)
		link.Close()
		<-dialing.down
		time.Sleep(outage)
		away.Store(false)
		back := time.Now()
		link = <-dialing.up
		if took := time.Since(back); took > limit {
			t.Errorf("round %d: the link was made anew %v after the other side was back", round, took)
		}
	}
}
