package refusal

import "testing"

// Guards against a refused job whose response has status 0 or a changed status.
func TestStatusCodeOfRefusedJobs(t *testing.T) {
	for reason, want := range map[Reason]int{InvalidRequest: 400, TeamUnknown: 403, IdempotencyMismatch: 409,
		LimitTooSmall: 422, NeverFits: 422, QueueFull: 429} {
		r := ForJob(reason, "message", "remedy")
		if r.Status != want || !r.NotRun || r.Reason != reason {
			t.Errorf("%s has status %d, not run %v, want %d and true", reason, r.Status, r.NotRun, want)
		}
	}
}
