package settings

import (
	"net/netip"

	"bergamotwing.example/result"
	"bergamotwing.example/strictjson"
)

// LoadEntry reads and checks an entry's settings file and the files that it names.
// Errors have code BadSettings and state file, line, key, value and the allowed
// range for every wrong setting.
func LoadEntry(file string) (Entry, error) {
	text, err := readText(file)
	if err != nil {
		return Entry{}, err
	}
	return parseEntry(file, text)
}

// LoadAgent reads and checks an agent's settings file and the files that it names.
// Errors are those of LoadEntry.
func LoadAgent(file string) (Agent, error) {
	text, err := readText(file)
	if err != nil {
		return Agent{}, err
	}
	return parseAgent(file, text)
}

func readText(file string) ([]byte, error) {
	text, err := readFile(file, strictjson.MaxBytes)
	if err != nil {
		return nil, result.Errorf(result.BadSettings, "%v", err)
	}
	return text, nil
}

func parseEntry(file string, text []byte) (Entry, error) {
	s := DefaultEntry()
	r := decode(text, &s)
	s.check(r)
	if err := r.error(file); err != nil {
		return Entry{}, err
	}
	if s.LinkAddr == "" && isDialAddr(s.LinkListen) {
		s.LinkAddr = s.LinkListen
	}
	return s, nil
}

func parseAgent(file string, text []byte) (Agent, error) {
	s := DefaultAgent()
	r := decode(text, &s)
	s.check(r)
	if err := r.error(file); err != nil {
		return Agent{}, err
	}
	return s, nil
}

// check checks the rules that concern several keys, and the files that are named.
func (s Entry) check(r *report) {
	if s.OperatorToken == "" && !r.failed("operatorToken") && !isLoopback(s.OperatorListen) {
		r.fail("operatorListen", "must be a loopback address such as 127.0.0.1:8081, since operatorToken is not set")
	}
	if a, err := netip.ParseAddrPort(s.LinkListen); err == nil && s.LinkAddr == "" && a.Addr().IsUnspecified() {
		r.fail("linkAddr", "must be set, since linkListen %s cannot be dialed", s.LinkListen)
	}
	if s.Limits.PayloadBytes > s.Limits.BodyBytes {
		r.fail("limits.payloadBytes", "must be at most limits.bodyBytes, which is %d", s.Limits.BodyBytes)
	}
	checkListeners(r, []listener{
		{"listen", s.Listen},
		{"operatorListen", s.OperatorListen},
		{"linkListen", s.LinkListen},
		{"metricsListen", s.MetricsListen},
	})
	checkKeys(r, s.Keys)
	checkServerTLS(r, "tls", s.TLS)
	checkServerTLS(r, "linkTls", s.LinkTLS)
}

// check checks the rules that concern several keys, and the files that are named.
func (s Agent) check(r *report) {
	if s.Connections < s.Slots {
		r.fail("connections", "must be at least slots, which is %d", s.Slots)
	}
	checkKeys(r, s.Keys)
	if _, err := s.LinkTLS.Client(); err != nil {
		r.fail("linkTls", "%s", detail(err))
	}
}

type listener struct{ key, addr string }

// checkListeners reports listeners that share an address.
func checkListeners(r *report, listeners []listener) {
	taken := make(map[netip.AddrPort]string)
	for _, l := range listeners {
		a, err := netip.ParseAddrPort(l.addr)
		if err != nil || a.Port() == 0 {
			continue
		}
		if other, ok := taken[a]; ok {
			r.fail(l.key, "must not be the address of %s", other)
		}
		taken[a] = l.key
	}
}

func checkKeys(r *report, keys []Key) {
	for i, k := range keys {
		if _, err := k.load(); err != nil {
			r.fail(keyPath(i), "%s", detail(err))
		}
	}
}

func checkServerTLS(r *report, key string, t TLS) {
	if t.CertFile == "" && t.CAFile != "" {
		r.fail(key+".certFile", "must be set, since caFile is")
		return
	}
	if _, err := t.Server(); err != nil {
		r.fail(key, "%s", detail(err))
	}
}

func isLoopback(addr string) bool {
	a, err := netip.ParseAddrPort(addr)
	return err == nil && a.Addr().IsLoopback()
}
