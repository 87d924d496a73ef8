package route

import (
	"testing"
	"time"
)

// Guards against a second run of a request that is not idempotent.
func TestJudge(t *testing.T) {
	cases := []struct {
		name string
		r    Request
		f    Failure
		want RetryDecision
	}{
		{"not sent", Request{false, true, 1}, Failure{false, false}, RetryNotRun},
		{"refused by the server", Request{false, true, 1}, Failure{true, true}, RetryNotRun},
		{"unknown", Request{false, true, 1}, Failure{true, false}, GiveUp},
		{"unknown and idempotent", Request{true, true, 1}, Failure{true, false}, RetryIdempotent},
		{"body is gone", Request{true, false, 1}, Failure{true, false}, GiveUp},
		{"refused and body is gone", Request{true, false, 1}, Failure{true, true}, GiveUp},
		{"too many attempts", Request{true, true, MaxAttempts}, Failure{false, false}, GiveUp},
	}
	for _, tc := range cases {
		if got := DecideRetry(tc.r, tc.f); got != tc.want {
			t.Errorf("%s: verdict %d, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against more retries than 10 % of the requests plus 10 per second.
func TestRetryBudget(t *testing.T) {
	for _, rate := range []int{0, 100, 5000} {
		now := start
		b := NewRetryBudget(now)
		retries := 0
		const seconds = 60
		for range seconds {
			for range rate {
				b.AddRequest()
				for b.TakeRetry(now) {
					retries++
				}
			}
			now = now.Add(time.Second)
			for b.TakeRetry(now) {
				retries++
			}
		}
		want := seconds * (rate/10 + budgetPerSecond)
		if retries < want-budgetPerSecond || retries > want+budgetPerSecond+1 {
			t.Errorf("%d requests a second got %d retries in %d s, want about %d", rate, retries, seconds, want)
		}
	}
}

// Guards against a peak that is averaged away at once or never decays.
func TestPeakLatency(t *testing.T) {
	var l PeakLatency
	l.Observe(start, time.Millisecond)
	l.Observe(start, 100*time.Millisecond)
	if got := l.Value(start); got != 100*time.Millisecond {
		t.Errorf("after a peak the value is %v, want the peak", got)
	}
	l.Observe(start.Add(time.Second), time.Millisecond)
	if got := l.Value(start.Add(time.Second)); got < 50*time.Millisecond {
		t.Errorf("one second after a peak the value is %v, want most of the peak", got)
	}
	if got := l.Value(start.Add(time.Minute)); got > time.Millisecond {
		t.Errorf("one minute after a peak the value is %v, want it forgotten", got)
	}
}
