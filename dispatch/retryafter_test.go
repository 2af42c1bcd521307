package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestClientsThatAreRefusedTogetherReturnOneAfterTheOther(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := Time(rapid.IntRange(1, 1000).Draw(rt, "now")) * time.Second
		wait := Time(rapid.IntRange(0, 20000).Draw(rt, "wait")) * ms
		perSecond := rapid.Float64Range(0.2, 500).Draw(rt, "rate")
		refused := rapid.IntRange(1, 300).Draw(rt, "refused")
		var last Time
		perReturnSecond := map[Time]int{}
		for range refused {
			next := nextReturn(now, wait, last, perSecond)
			if next < now+minRetryAfter || next > now+maxRetryAfter {
				rt.Fatalf("return after %v", next-now)
			}
			if next <= last && last+Time(float64(time.Second)/perSecond) <= now+maxRetryAfter {
				rt.Fatalf("a client refused later returns earlier, though there was time behind the one before")
			}
			last = next
			perReturnSecond[(next-now)/time.Second]++
		}
		// However often the returns have begun anew, no second gets more than its part of them.
		spread := min(max((maxRetryAfter-max(wait, minRetryAfter)).Seconds(), 1), float64(refused)/perSecond)
		rounds := 1 + float64(refused)/max(perSecond*spread, 1)
		for second, n := range perReturnSecond {
			if float64(n) > (perSecond+1)*rounds+1 {
				rt.Fatalf("%d of %d return in second %d, at %.1f a second", n, refused, second, perSecond)
			}
		}
	})
}

func TestARefusedClientReturnsNoSoonerThanRoomIsExpected(t *testing.T) {
	now := time.Minute
	if after := nextReturn(now, 3*time.Second, 0, 10) - now; after != 3*time.Second {
		t.Errorf("after %v, want the predicted wait", after)
	}
	if after := nextReturn(now, 0, 0, 10) - now; after != minRetryAfter {
		t.Errorf("after %v, want %v", after, minRetryAfter)
	}
	if after := nextReturn(now, time.Hour, 0, 10) - now; after != maxRetryAfter {
		t.Errorf("after %v, want %v", after, maxRetryAfter)
	}
}
