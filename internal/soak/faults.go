package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// stutterPeriod is the period of a stutter, and stutterPause the part of it in which
	// the member is suspended.
	stutterPeriod = 100 * time.Millisecond
	stutterPause  = 90 * time.Millisecond
	// terminationLimit is the time after SIGTERM at which a process is killed.
	terminationLimit = 6 * time.Second
)

// injector carries out the faults of a schedule on a cluster.
type injector struct {
	cluster *cluster
	// record is called with what each fault does.
	record func(Fault, string)
	// errors receives errors of the run itself, such as a process that cannot be started.
	errors func(error)
	wg     sync.WaitGroup
}

// run begins each fault at its time after start, and returns once all have ended. If ctx
// ends, it returns early.
func (i *injector) run(ctx context.Context, start time.Time, faults []Fault) {
	for _, fault := range faults {
		if !sleepUntil(ctx, start.Add(fault.At)) {
			break
		}
		i.wg.Go(func() { i.inject(ctx, fault) })
	}
	i.wg.Wait()
}

// inject carries out one fault and returns once it has ended.
func (i *injector) inject(ctx context.Context, f Fault) {
	random := rand.New(rand.NewPCG(f.Draw, 0))
	members := i.cluster.current()
	random.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	hit := members[0]
	i.record(f, hit.name)
	switch f.Kind {
	case Freeze:
		freeze(ctx, f.For, hit)
	case FreezeAll:
		freeze(ctx, f.For, members...)
	case Stutter:
		stutter(ctx, f.For, hit)
	case Kill:
		i.restart(ctx, f.For, nil, hit)
	case KillAll:
		i.restart(ctx, f.For, nil, members...)
	case Wipe:
		i.restart(ctx, f.For, hit.wipe, hit)
	case Terminate:
		terminate(hit)
		i.check(hit.start(false))
	case Replace:
		i.replace(ctx, f, random, hit)
	case HoldLink, Isolate, Deafen, Split:
		i.holdLinks(ctx, f, random, members)
	}
}

func (i *injector) check(err error) {
	if err != nil {
		i.errors(err)
	}
}

func freeze(ctx context.Context, d time.Duration, members ...*member) {
	for _, m := range members {
		m.signal(syscall.SIGSTOP)
	}
	sleep(ctx, d)
	for _, m := range members {
		m.signal(syscall.SIGCONT)
	}
}

func stutter(ctx context.Context, d time.Duration, m *member) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		freeze(ctx, stutterPause, m)
		sleep(ctx, stutterPeriod-stutterPause)
	}
}

// restart kills members, calls whileDown if it is not nil, and starts them again after d.
func (i *injector) restart(ctx context.Context, d time.Duration, whileDown func() error, members ...*member) {
	for _, m := range members {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range members {
		m.waitForExit()
	}
	if whileDown != nil {
		i.check(whileDown())
	}
	sleep(ctx, d)
	for _, m := range members {
		i.check(m.start(false))
	}
}

// terminate sends SIGTERM to a member, and kills it after terminationLimit.
func terminate(m *member) {
	m.signal(syscall.SIGTERM)
	killer := time.AfterFunc(terminationLimit, func() { m.signal(syscall.SIGKILL) })
	m.waitForExit()
	killer.Stop()
}

// replace starts a new member and ends another one, in either order.
func (i *injector) replace(ctx context.Context, f Fault, random *rand.Rand, replaced *member) {
	end := func() {
		if random.IntN(2) == 0 {
			terminate(replaced)
		} else {
			replaced.kill()
		}
		i.cluster.remove(replaced)
	}
	if random.IntN(2) == 0 {
		i.check(i.cluster.add(false))
		sleep(ctx, f.For)
		end()
		return
	}
	end()
	sleep(ctx, f.For)
	i.check(i.cluster.add(false))
}

// holdLinks holds the links that the fault cuts, and opens them at its end.
func (i *injector) holdLinks(ctx context.Context, f Fault, random *rand.Rand, members []*member) {
	for _, held := range cutLinks(f.Kind, random, members) {
		defer i.cluster.links.hold(held)()
	}
	sleep(ctx, f.For)
}

// cutLinks returns the links that a fault cuts, given the members in random order.
func cutLinks(kind FaultKind, random *rand.Rand, members []*member) []link {
	if kind == HoldLink {
		return []link{{members[1].name, members[0].name}}
	}
	part := 1
	if kind == Split {
		part = 1 + random.IntN(len(members)-1)
	}
	var cut []link
	for _, inside := range members[:part] {
		for _, outside := range members[part:] {
			cut = append(cut, link{outside.name, inside.name})
			if kind != Deafen {
				cut = append(cut, link{inside.name, outside.name})
			}
		}
	}
	return cut
}

// sleepUntil waits until a time and reports whether ctx did not end before.
func sleepUntil(ctx context.Context, at time.Time) bool { return sleep(ctx, time.Until(at)) }

// sleep waits for d and reports whether ctx did not end before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
