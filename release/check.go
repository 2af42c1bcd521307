package release

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
)

// Limits on the values in a note.
const (
	MaxServices       = 256
	MaxZones          = 64
	MaxTeams          = 1024
	MaxByBytes        = 128
	MaxTextBytes      = 4096
	MaxTaskMS         = 600_000
	MaxTasks          = 10_000
	MinPayloadB       = 16
	MaxPayloadB       = 8 << 20
	MaxTasksPerSecond = 1e6
	MaxBurst          = 1_000_000
	MaxWeight         = 1000
)

// namePattern matches note ids and the names of services, zones and teams.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

const nameRule = "must be 1 to 64 letters, digits, dots, dashes or underscores, and start with a letter or digit"

// ValidName reports whether s may be a note's id or the name of a service, zone or team.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// problem describes a value of a note that is out of range.
type problem struct {
	key    string // path of the value in the text
	detail string
}

// problems checks everything about a note that does not depend on the state, and
// returns what is wrong.
func (n Note) problems() []problem {
	var c checker
	c.name("id", n.ID)
	c.size("by", len(n.By), MaxByBytes)
	c.size("text", len(n.Text), MaxTextBytes)
	checkDelta(&c, "services", n.Services.Add, n.Services.Change, n.Services.Withdraw, checkService)
	checkDelta(&c, "zones", n.Zones.Add, n.Zones.Change, n.Zones.Withdraw, func(*checker, string, Zone) {})
	checkDelta(&c, "teams", n.Teams.Add, n.Teams.Change, n.Teams.Withdraw, checkTeam)
	if n.Settings != nil {
		c.between("settings.ejectMaxPct", int64(n.Settings.EjectMaxPct), 0, 100)
		c.between("settings.retryBudgetPct", int64(n.Settings.RetryBudgetPct), 0, 100)
	}
	return c.problems
}

type checker struct{ problems []problem }

func (c *checker) fail(key, format string, args ...any) {
	c.problems = append(c.problems, problem{key, fmt.Sprintf(format, args...)})
}

func (c *checker) name(key, name string) {
	if !ValidName(name) {
		c.fail(key, nameRule)
	}
}

func (c *checker) size(key string, n, most int) {
	if n > most {
		c.fail(key, "must be at most %d bytes long", most)
	}
}

func (c *checker) between(key string, v, least, most int64) {
	if v < least || v > most {
		c.fail(key, "must be from %d to %d", least, most)
	}
}

func checkDelta[T any](c *checker, key string, add, change map[string]T, withdraw []string, check func(*checker, string, T)) {
	seen := make(map[string]bool)
	once := func(path, name string) {
		c.name(path, name)
		if seen[name] {
			c.fail(path, "the note names %q twice", name)
		}
		seen[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(add)) {
		path := key + ".add." + name
		once(path, name)
		check(c, path, add[name])
	}
	for _, name := range slices.Sorted(maps.Keys(change)) {
		path := key + ".change." + name
		once(path, name)
		check(c, path, change[name])
	}
	for i, name := range withdraw {
		once(fmt.Sprintf("%s.withdraw[%d]", key, i), name)
	}
}

func checkService(c *checker, key string, s Service) {
	c.between(key+".maxTaskMs", s.MaxTaskMS, 1, MaxTaskMS)
	c.between(key+".maxTasks", int64(s.MaxTasks), 1, MaxTasks)
	c.between(key+".maxPayloadB", int64(s.MaxPayloadB), MinPayloadB, MaxPayloadB)
}

func checkTeam(c *checker, key string, t Team) {
	if !(t.TasksPerSecond >= 0 && t.TasksPerSecond <= MaxTasksPerSecond) || math.IsNaN(t.TasksPerSecond) {
		c.fail(key+".tasksPerSecond", "must be from 0 to %.0f", MaxTasksPerSecond)
	}
	least := int64(0)
	if t.TasksPerSecond > 0 {
		least = 1
	}
	c.between(key+".burst", int64(t.Burst), least, MaxBurst)
	c.between(key+".weight", int64(t.Weight), 1, MaxWeight)
}
