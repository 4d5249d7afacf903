package endpointagent

import "time"

const (
	illSpan   = 1200 * time.Millisecond
	illFew    = 6
	illFrom   = 20
	illStreak = 8
	illFades  = 6 * time.Second
)

// illness judges an endpoint by its answers alone, over two spans of time. What
// was found ill is well again after a row of good answers, or once nothing bad
// has been seen for a while.
type illness struct {
	at        time.Time
	good, bad [2]int
	ill       int
	since     time.Time
	streak    int
}

func (i *illness) note(good bool, now time.Time) {
	switch e := now.Sub(i.at); {
	case e < illSpan:
	case e < 2*illSpan:
		i.good[1], i.bad[1], i.good[0], i.bad[0] = i.good[0], i.bad[0], 0, 0
		i.at = now
	default:
		i.good, i.bad = [2]int{}, [2]int{}
		i.at = now
	}
	if good {
		i.good[0]++
		i.streak++
	} else {
		i.bad[0]++
		i.streak, i.since = 0, now
	}
	if i.ill > 0 {
		if i.streak >= illStreak {
			*i = illness{at: now}
		}
		return
	}
	b := i.bad[0] + i.bad[1]
	n := b + i.good[0] + i.good[1]
	if p := 100 * b / n; n >= illFew && p >= illFrom {
		i.ill = p / illFrom * illFrom
	}
}

func (i *illness) fade(now time.Time) {
	if i.ill > 0 && now.Sub(i.since) > illFades {
		*i = illness{at: now}
	}
}
