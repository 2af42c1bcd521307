package trial

import "time"

// user is a group of callers with its own service in its own zones.
type user struct {
	name    string
	service string
	zones   []string
}

var users = []user{
	{name: "Bannerstroom", service: "postlink", zones: []string{"gent-noord", "brugge-oost", "kortrijk-zuid"}},
	{name: "Cymdeithas", service: "hire-desk", zones: []string{"gwent", "ceredigion", "powys"}},
}

const (
	agentsPerZone  = 2
	slots          = 8
	connections    = 60
	outZone        = "gent-noord"
	stoppedAgentID = "kortrijk-zuid-1"
)

func agentCount() int {
	count := 0
	for _, u := range users {
		count += len(u.zones) * agentsPerZone
	}
	return count
}

// Shape of the load of one user.
const (
	jobsPerSecond = 30
	maxTasks      = 6
	jobDeadline   = 5 * time.Second
	minRunMS      = 20
	spanRunMS     = 120
	longRunMS     = 600 // run time of one task in longEvery
	longEvery     = 50
	resultBytes   = 64
)
