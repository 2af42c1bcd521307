package mesh_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

// Two sides that order their links differently keep different ones, and so none.
func TestBothSidesHaveTheSameRisingNumbersOfTheirLinks(t *testing.T) {
	for _, tc := range []struct{ name, dialing, accepting string }{
		{"an agent dials", "", "b:1"},
		{"the lower address dials", "a:1", "b:1"},
		{"the higher address dials", "b:1", "a:1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			metrics, err := telemetry.NewMetrics()
			if err != nil {
				t.Fatal(err)
			}
			newSide := func(name, addr string) (*mesh.Mesh, *keeping) {
				k := &keeping{up: make(chan *mesh.Link, 10), down: make(chan *mesh.Link, 10)}
				hello := wire.NodeHello{Name: name, Role: wire.RoleEntry, Addr: addr}
				return mesh.New(hello, k, wire.Count(metrics), zerolog.Nop()), k
			}
			acceptor, accepted := newSide("acceptor", tc.accepting)
			server := httptest.NewServer(acceptor.Handler(t.Context()))
			t.Cleanup(server.Close)
			dialer, dialed := newSide("dialer", tc.dialing)
			began, newest := mesh.Now(), uint64(0)
			dialer.SetTargets(t.Context(), []string{server.Listener.Addr().String()})
			for range 3 {
				x, y := <-dialed.up, <-accepted.up
				if x.Number != y.Number || x.Number <= newest {
					t.Errorf("numbers %d and %d after %d", x.Number, y.Number, newest)
				}
				if now := mesh.Now(); x.Began <= began || y.Began <= began || x.Began > now || y.Began > now {
					t.Errorf("links began at %v and %v, between %v and %v", x.Began, y.Began, began, now)
				}
				began, newest = mesh.Now(), x.Number
				x.Close()
				<-dialed.down
				<-accepted.down
			}
		})
	}
}

// A build that numbers no links is linked as before.
func TestLinksWithABuildThatNumbersNoneAreNotOrdered(t *testing.T) {
	order := mesh.NewOrder()
	for _, incarnation := range []wire.Incarnation{1, 2, 1} {
		l := &mesh.Link{Hello: wire.NodeHello{Name: "a", Role: wire.RoleEntry, Incarnation: incarnation}}
		if why := order.Refuse(time.Second, l); why != "" {
			t.Errorf("refused: %s", why)
		}
	}
}

func TestLinksThatComeLateAreRefused(t *testing.T) {
	const handledAt = 10 * time.Second
	for _, tc := range []struct {
		name    string
		link    mesh.Link
		refused bool
	}{
		{"later", mesh.Link{Number: 6, Hello: wire.NodeHello{Incarnation: 1}}, false},
		{"earlier", mesh.Link{Number: 4, Hello: wire.NodeHello{Incarnation: 1}, Began: handledAt + 1}, true},
		{"another process, began before", mesh.Link{Number: 9, Hello: wire.NodeHello{Incarnation: 2}, Began: handledAt}, true},
		{"another process, began after", mesh.Link{Number: 1, Hello: wire.NodeHello{Incarnation: 2}, Began: handledAt + 1}, false},
		{"another name", mesh.Link{Number: 1, Hello: wire.NodeHello{Name: "b", Incarnation: 2}}, false},
		{"another role", mesh.Link{Number: 1, Hello: wire.NodeHello{Role: wire.RoleAgent, Incarnation: 2}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			order := mesh.NewOrder()
			if why := order.Refuse(handledAt, &mesh.Link{Number: 5, Hello: wire.NodeHello{Incarnation: 1}}); why != "" {
				t.Fatalf("the first link is refused: %s", why)
			}
			if why := order.Refuse(handledAt+time.Second, &tc.link); (why != "") != tc.refused {
				t.Errorf("refused: %q", why)
			}
		})
	}
}
