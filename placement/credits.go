package placement

import "slices"

// creditPool holds credits by agent and hands them out agent by agent in turn,
// so that work spreads over the endpoints.
type creditPool struct {
	byAgent map[string][]Credit
	order   []string // agents that have credits, next in turn first
	count   int
}

func newCreditPool() creditPool { return creditPool{byAgent: map[string][]Credit{}} }

// add adds c. It replaces a credit for the same slot if that has a lower epoch or
// is of another incarnation; otherwise the credit held stays.
func (p *creditPool) add(c Credit) {
	have := p.byAgent[c.Agent]
	for i, old := range have {
		if old.Slot != c.Slot {
			continue
		}
		if old.Incarnation != c.Incarnation || c.Epoch > old.Epoch {
			have[i] = c
		}
		return
	}
	if len(have) == 0 {
		p.order = append(p.order, c.Agent)
	}
	p.byAgent[c.Agent] = append(have, c)
	p.count++
}

// any reports whether some agent with credits satisfies fits.
func (p *creditPool) any(fits func(agent string) bool) bool {
	return slices.ContainsFunc(p.order, fits)
}

// take removes and returns a credit of the next agent that satisfies fits.
func (p *creditPool) take(fits func(agent string) bool) (Credit, bool) {
	for i, agent := range p.order {
		if !fits(agent) {
			continue
		}
		have := p.byAgent[agent]
		c := have[0]
		p.order = append(p.order[:i:i], p.order[i+1:]...)
		p.count--
		if len(have) == 1 {
			delete(p.byAgent, agent)
			return c, true
		}
		p.byAgent[agent] = have[1:]
		p.order = append(p.order, agent)
		return c, true
	}
	return Credit{}, false
}

func (p *creditPool) of(agent string) []Credit { return p.byAgent[agent] }

func (p *creditPool) removeAgent(agent string) {
	p.count -= len(p.byAgent[agent])
	delete(p.byAgent, agent)
	for i, a := range p.order {
		if a == agent {
			p.order = append(p.order[:i:i], p.order[i+1:]...)
			return
		}
	}
}
