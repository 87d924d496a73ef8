package main

import (
	"sync"
	"time"
)

// finishMS is finish_s of the small site files.
const finishMS = 14_000 * time.Millisecond

// idleWatch looks for the longest time in which a job had nothing running although the turn of one of its tasks had
// come and two workers at least had room for it, while less than half of all capacity was in use.
type idleWatch struct {
	mu        sync.Mutex
	longest   time.Duration
	longestAt time.Time
}

func (l *lab) watchIdle(job string, finished func() bool, stop <-chan struct{}) *idleWatch {
	w := &idleWatch{}
	go func() {
		var since time.Time
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			hosts, total, used := 0, int64(0), int64(0)
			for _, x := range l.workers {
				in := x.cpuInUse()
				total, used = total+x.cpu, used+in
				if x.isUp() && x.cpu-in >= l.cpuOf(job) {
					hosts++
				}
			}
			switch {
			case finished() || l.runningOf(job) > 0 || hosts < 2 || 2*used >= total:
				since = time.Time{}
			case since.IsZero():
				since = time.Now()
			}
			w.mu.Lock()
			if !since.IsZero() && time.Since(since) > w.longest {
				w.longest, w.longestAt = time.Since(since), since
			}
			w.mu.Unlock()
		}
	}()
	return w
}

func (w *idleWatch) result() (time.Duration, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest, w.longestAt
}
