package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/dispatch"
	"bergamotwing.example/wire"
)

// The tasks of a service with few slots are best placed by few entries: if the
// slots are split over many entries, some are idle at one entry while tasks wait
// at another, and moving their credits costs messages. So the tickets of a
// service come from its home entries, one for each slotsPerHome slots. All
// entries choose the homes by the same rule, from the entries and agents linked to
// them. Where their choices differ, the only cost is extra messages, since a job
// always belongs to the incarnation that issued its ticket.
const (
	slotsPerHome  = 256
	methodTickets = "TICKETS" // Forward.Method of a request for tickets; the body is their number
	ticketTimeout = 250 * time.Millisecond
)

// homes returns the ids of a service's home entries.
func (e *Entry) homes(service string) []string {
	ids := e.homeCandidates()
	slices.SortFunc(ids, func(a, b string) int {
		ha, hb := dispatch.HomeRank(service, a), dispatch.HomeRank(service, b)
		switch {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		default:
			return 0
		}
	})
	slots := 0
	for _, a := range e.agents.list() {
		if a.service == service {
			slots += a.slots
		}
	}
	n := (slots + slotsPerHome - 1) / slotsPerHome
	return ids[:min(max(1, n), len(ids))]
}

// quotaParts returns the number of parts into which a team's rate is divided for
// a service's jobs at this entry.
func (e *Entry) quotaParts(service string) int {
	if homes := e.homes(service); slices.Contains(homes, e.self.ID) {
		return len(homes)
	}
	return 1 + len(e.control.view().Peers)
}

// homeCandidates returns this entry and those linked now, except those that are
// stopping. Entries in a zone out of service are returned only if there are no
// others.
func (e *Entry) homeCandidates() []string {
	v := e.control.view()
	var in, all []string
	add := func(id, zone string) {
		all = append(all, id)
		if v.State.InService(zone, v.Holds) {
			in = append(in, id)
		}
	}
	if !e.stopping.Load() {
		add(e.self.ID, e.self.Zone)
	}
	for _, p := range e.peers.list() {
		if !p.leaving.Load() {
			add(p.id, p.zone)
		}
	}
	if len(in) > 0 {
		return in
	}
	return all
}

// ticketsFor returns n tickets issued by a home entry of the service, or by this
// entry if the chosen home does not answer in time.
func (e *Entry) ticketsFor(ctx context.Context, service string, n int) []string {
	homes := e.homes(service)
	if service != "" && len(homes) > 0 && !slices.Contains(homes, e.self.ID) {
		if tickets := e.peerTickets(ctx, homes[rand.N(len(homes))], n); len(tickets) > 0 { //nolint:gosec // spreads load
			return tickets
		}
	}
	return e.ownTickets(n)
}

func (e *Entry) ownTickets(n int) []string {
	issued := e.ledger.Issue(n, time.Now())
	out := make([]string, len(issued))
	for i, t := range issued {
		out[i] = t.Encode(e.ticketKeys[0])
	}
	return out
}

// peerTickets requests tickets from a peer; it returns none if the peer does not
// answer in time.
func (e *Entry) peerTickets(ctx context.Context, peer string, n int) []string {
	p := e.peers.get(peer)
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
	defer cancel()
	id, w := e.forwards.add(p)
	defer e.forwards.drop(id)
	if !p.send(&wire.Forward{Request: id, Method: methodTickets, Body: []byte(strconv.Itoa(n))}) {
		return nil
	}
	select {
	case m, ok := <-w.reply:
		var t api.Tickets
		if ok && json.Unmarshal(m.Body, &t) == nil {
			return t.Tickets
		}
	case <-ctx.Done():
	}
	return nil
}

// issueToPeer answers a peer's request for tickets.
func (e *Entry) issueToPeer(p *peerLink, m *wire.Forward) {
	n, err := strconv.Atoi(string(m.Body))
	if err != nil || n < 1 || n > e.cfg.Limits.Tickets {
		n = 0
	}
	body, err := json.Marshal(api.Tickets{Tickets: e.ownTickets(n)})
	if err != nil {
		return
	}
	p.send(&wire.ForwardReply{Request: m.Request, Body: body})
}

// serviceOf returns the service that a job's body names, if it can be read.
func serviceOf(body []byte) string {
	var job struct {
		Service string `json:"service"`
	}
	_ = json.Unmarshal(body, &job)
	return job.Service
}

// submitOnce accepts a job without a ticket, from a caller that never submits it
// again.
func (e *Entry) submitOnce(w http.ResponseWriter, r *http.Request) {
	body, err := e.readBody(w, r, e.cfg.Limits.BodyBytes)
	if err != nil {
		e.refuse(w, err)
		return
	}
	tickets := e.ticketsFor(r.Context(), serviceOf(body), 1)
	if len(tickets) == 0 {
		e.refuse(w, errStopping)
		return
	}
	r.SetPathValue("ticket", tickets[0])
	r.Method = http.MethodPut
	e.route(w, r, body)
}
