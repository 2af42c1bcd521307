package mesh_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/platform/fake"
	"bergamotwing.example/wire"
)

const entriesTable = "bergamotwing-entries"

// Rows of another writer, which would be dialed, passed on to other processes, or
// taken into account when homes are chosen.
func TestOddRowsNameNoEntry(t *testing.T) {
	good := wire.Member{Name: "good", Addr: "10.0.0.1:7720", Cores: 0.4, LinkMbps: 1000}
	for name, value := range map[string]string{
		"not JSON":             `{`,
		"not UTF-8":            "\xff\xfe",
		"null":                 `null`,
		"nested":               strings.Repeat("[", 400_000),
		"nested unknown field": `{"Name":"odd","Addr":"10.0.0.2:7720","x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"no name":              `{"Addr":"10.0.0.2:7720"}`,
		"another name":         `{"Name":"other","Addr":"10.0.0.2:7720"}`,
		"name a number":        `{"Name":5,"Addr":"10.0.0.2:7720"}`,
		"no address":           `{"Name":"odd"}`,
		"address a list":       `{"Name":"odd","Addr":["10.0.0.2:7720"]}`,
		"no port":              `{"Name":"odd","Addr":"10.0.0.2"}`,
		"port 0":               `{"Name":"odd","Addr":"10.0.0.2:0"}`,
		"port 99999":           `{"Name":"odd","Addr":"10.0.0.2:99999"}`,
		"negative port":        `{"Name":"odd","Addr":"10.0.0.2:-1"}`,
		"host name":            `{"Name":"odd","Addr":"odd.example:7720"}`,
		"unspecified address":  `{"Name":"odd","Addr":"0.0.0.0:7720"}`,
		"multicast address":    `{"Name":"odd","Addr":"224.0.0.1:7720"}`,
		"IPv4 as IPv6":         `{"Name":"odd","Addr":"[::ffff:10.0.0.1]:7720"}`,
		"huge address":         `{"Name":"odd","Addr":"` + strings.Repeat("9", 100_000) + `:7720"}`,
		"bandwidth 1e300":      `{"Name":"odd","Addr":"10.0.0.2:7720","LinkMbps":1e300}`,
		"bandwidth 1e400":      `{"Name":"odd","Addr":"10.0.0.2:7720","LinkMbps":1e400}`,
		"negative bandwidth":   `{"Name":"odd","Addr":"10.0.0.2:7720","LinkMbps":-1}`,
		"processor 1e300":      `{"Name":"odd","Addr":"10.0.0.2:7720","Cores":1e300}`,
		"negative processor":   `{"Name":"odd","Addr":"10.0.0.2:7720","Cores":-4}`,
		"processor a text":     `{"Name":"odd","Addr":"10.0.0.2:7720","Cores":"4"}`,
	} {
		server := fake.NewStore()
		s := httptest.NewServer(server)
		server.PutBytes(entriesTable, "odd", []byte(value))
		server.Put(entriesTable, good.Name, good)
		members, odd, err := mesh.ReadMembers(t.Context(), platform.NewStore(s.Listener.Addr().String()))
		if err != nil || len(members) != 1 || members[0].Member != good {
			t.Errorf("%s: %.200v, error %v", name, members, err)
		}
		if len(odd) != 1 || odd[0].Key != "odd" || odd[0].Version != 1 {
			t.Errorf("%s: reported %.200v", name, odd)
		}
		s.Close()
	}
}
