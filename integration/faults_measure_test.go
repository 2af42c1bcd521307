//go:build measure

package integration

import (
	"fmt"
	"testing"
	"time"
)

func TestMeasureOverload(t *testing.T) {
	fmt.Println(faultsHeader)
	full := defaultFaultLoad("full", 1, 15*time.Second, time.Minute).run(t, deployMeasured(t))
	burst := defaultFaultLoad("burst", 5, 10*time.Second, 10*time.Second).run(t, deployMeasured(t))
	fmt.Printf("useful work: full load %.0f tasks/s, burst %.0f tasks/s (%.0f%%)\n",
		full.usefulRate(), burst.usefulRate(), 100*burst.usefulRate()/full.usefulRate())
}
