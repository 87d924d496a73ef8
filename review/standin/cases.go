package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// playWaiting loses a minion and hands in jobs that only it may run. They are accepted and do not begin
// until another minion of its kind joins; `waiting` has to count at least half of them.
func playWaiting(d *deployment) int {
	const probe, jobs = "00000000000000aa", 6
	if status, _ := d.call(d.daemons[0], "POST", prefix+probe, key1, job(300, "b")); status != 200 || !d.awaitState(probe, key1, "completed", 10*time.Second) {
		return cannotRun
	}
	if d.trouble {
		d.minions[7].lose()
	}
	accepted := make(map[string]time.Time)
	for n := range jobs {
		id := fmt.Sprintf("00000000000001%02x", n)
		if status, _ := d.call(d.daemons[n%3], "POST", prefix+id, key1, job(300, "b")); status/100 == 2 {
			accepted[id] = time.Now()
		}
	}
	if len(accepted) < jobs {
		return cannotRun
	}
	code := held
	// Jobs count from visible_ms + 2 s after their acceptance on.
	time.Sleep((visibleMS + 2000 + 500) * time.Millisecond)
	for range 10 {
		for _, x := range d.daemons {
			// The answer may be 2 s old, and is compared with what had not begun after it.
			status, text := d.call(x, "GET", prefix, key1, nil)
			waiting := 0
			for id, at := range accepted {
				if time.Since(at) > (visibleMS+2000)*time.Millisecond && !d.record.jobBegun(id) {
					waiting++
				}
			}
			var got struct {
				Waiting int `json:"waiting"`
			}
			if status != 200 || json.Unmarshal([]byte(text), &got) != nil {
				continue
			}
			if 2*got.Waiting < waiting {
				d.record.add("MIXED: %s gives %d as waiting, and %d accepted jobs have not begun", x.name, got.Waiting, waiting)
				code = broken
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	m, err := startMinion(d.store, d.record, d.gangs, "i-7f3a91f0", svc, "dalmatia-split", "b", "r1-1")
	if err != nil {
		return cannotRun
	}
	d.minions = append(d.minions, m)
	for id := range accepted {
		if !d.awaitState(id, key1, "completed", 15*time.Second) {
			d.record.add("%s has not completed on the new minion", id)
		}
	}
	return code
}

// playOpenQueue hands a job in at a queue with allow_anonymous, with the tenant's key. Then that key is
// taken away, and the client asks for its job without a key, as the queue allows.
func playOpenQueue(d *deployment) int {
	const id = "00000000000002aa"
	if status, _ := d.call(d.daemons[0], "POST", prefix+id, key1, job(40_000, "")); status/100 != 2 {
		return cannotRun
	}
	acceptedAt := time.Now()
	if !d.awaitState(id, key1, "running", 8*time.Second) {
		return cannotRun
	}
	key := key1
	if d.trouble {
		d.config(9, true, key2)
		key = ""
	}
	// The configuration is in force, and the job visible, at every instance by then.
	time.Sleep(max((configMS+500)*time.Millisecond, time.Until(acceptedAt.Add((visibleMS+500)*time.Millisecond))))
	code := held
	for range 5 {
		for _, x := range d.daemons {
			if status, _ := d.call(x, "GET", prefix+id, key, nil); status == 410 {
				d.record.add("LOST: %s answers 410 for a job that was accepted, runs, and was not cancelled", x.name)
				code = broken
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return code
}

// playLasting crashes, three times, the minion on which the task of a long-running job is at work. Each
// crashed minion is back as another one after 4.5 s. The task never ends `failed`.
func playLasting(d *deployment) int {
	const id = "00000000000003aa"
	body := map[string]any{"spec": fmt.Sprint(lasts.Milliseconds()), "steps": []any{map[string]any{"count": 1, "cpu": 500, "mem_mb": 256,
		"long_running": true}}}
	if status, _ := d.call(d.daemons[0], "POST", prefix+id, key1, body); status/100 != 2 {
		return cannotRun
	}
	for n := range 3 {
		m := d.awaitRun(id, 15*time.Second)
		if m == nil {
			break
		}
		time.Sleep(4 * time.Second)
		if !d.trouble {
			continue
		}
		m.crash()
		go func() {
			time.Sleep(4500 * time.Millisecond)
			_, _ = startMinion(d.store, d.record, d.gangs, fmt.Sprintf("i-7f3a92%02x", n), svc, "dalmatia-split", "a", m.rack)
		}()
		time.Sleep(time.Second)
	}
	code := held
	for range 10 {
		for _, x := range d.daemons {
			status, text := d.call(x, "GET", prefix+id, key1, nil)
			var got struct {
				State string `json:"state"`
			}
			if status == 200 && json.Unmarshal([]byte(text), &got) == nil && got.State == "failed" {
				d.record.add("LOST: %s shows the job as failed, and no run of it ended failed", x.name)
				code = broken
			}
		}
		time.Sleep(time.Second)
	}
	return code
}

// playSameRack has two of three racks each run one long task, and loses one minion of the third rack for
// good. Then a gang is accepted whose members take one minion each, as many as a whole rack has. It may run
// on two racks, where it takes far_x as long.
func playSameRack(d *deployment) int {
	const id, members, finishS = "00000000000004aa", 8, 14
	for n := 1; n <= 2; n++ {
		long := fmt.Sprintf("00000000000004%02x", n)
		step := map[string]any{"count": 1, "cpu": 8000, "mem_mb": 1024, "estimate_ms": 100_000, "affinity": fmt.Sprintf("r%d-1", n)}
		if status, _ := d.call(d.daemons[0], "POST", prefix+long, key1, map[string]any{"spec": "100000", "steps": []any{step}}); status/100 != 2 {
			return cannotRun
		}
		if m := d.awaitRun(long, 5*time.Second); m == nil || m.rack != fmt.Sprintf("r%d-1", n) {
			return cannotRun
		}
	}
	if d.trouble {
		d.minions[0].crash()
	}
	time.Sleep(8 * time.Second)
	d.gangs.add(id+".0.0", members)
	body := map[string]any{"spec": "1000", "steps": []any{map[string]any{"count": members, "cpu": 12000, "mem_mb": 1024, "estimate_ms": 1000,
		"gang": true, "same_rack": true}}}
	if status, _ := d.call(d.daemons[0], "POST", prefix+id, key1, body); status/100 != 2 {
		return cannotRun
	}
	for range finishS + 10 {
		time.Sleep(time.Second)
		if status, text := d.call(d.daemons[1], "GET", prefix+id, key1, nil); status == 200 && text == `{"state":"completed"}` {
			return held
		}
	}
	// A plain job shows that the minions and the instances serve.
	const other = "00000000000004bb"
	if status, _ := d.call(d.daemons[0], "POST", prefix+other, key1, job(300, "")); status/100 != 2 || !d.awaitState(other, key1, "completed", 10*time.Second) {
		return cannotRun
	}
	if d.record.jobBegun(id) {
		return cannotRun
	}
	d.record.add("LOST: no member of the gang has started in %d s; 21 minions are idle, and 16 are twice its need", finishS+10)
	return broken
}

// playAfterCut cuts off the minion of kind b for 5.5 s while tasks that any minion may run are at work on
// it. Seconds after it is back, a job of 400 short tasks that only it may run is handed in.
func playAfterCut(d *deployment) int {
	const first, second, tasks, finishS = "00000000000005aa", "00000000000005bb", 400, 14
	step := map[string]any{"count": 16, "cpu": 8000, "mem_mb": 1024, "estimate_ms": 3000}
	if status, _ := d.call(d.daemons[0], "POST", prefix+first, key1, map[string]any{"spec": "3000", "steps": []any{step}}); status/100 != 2 {
		return cannotRun
	}
	b := d.minions[7]
	for deadline := time.Now().Add(5 * time.Second); !b.runs(first); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return cannotRun
		}
	}
	if d.trouble {
		time.Sleep(500 * time.Millisecond)
		b.cut(5500 * time.Millisecond)
	}
	if !d.awaitState(first, key1, "completed", 20*time.Second) {
		return cannotRun
	}
	time.Sleep(5 * time.Second)
	step = map[string]any{"count": tasks, "cpu": 500, "mem_mb": 64, "estimate_ms": 100, "requires": "b"}
	if status, _ := d.call(d.daemons[0], "POST", prefix+second, key1, map[string]any{"spec": "100", "steps": []any{step}}); status/100 != 2 {
		return cannotRun
	}
	last, lastStart := 0, time.Now()
	for deadline := time.Now().Add((finishS + 30) * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if status, text := d.call(d.daemons[1], "GET", prefix+second, key1, nil); status == 200 && text == `{"state":"completed"}` {
			return held
		}
		if n := d.record.countBegun(second); n > last || b.runs(second) {
			last, lastStart = n, time.Now()
		}
	}
	if time.Since(lastStart) < finishS*time.Second {
		return cannotRun
	}
	d.record.add("LOST: %d of %d tasks have started, and nothing runs for %.0f s, while minion %s is up, reachable and idle", last, tasks,
		time.Since(lastStart).Seconds(), b.id)
	return broken
}
