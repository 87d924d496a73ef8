package sched

import "testing"

// Guards against stored bytes that crash the decoder, and against records of unknown versions
// that are accepted.
func FuzzDecodeRecord(f *testing.F) {
	for _, r := range []Record{
		{Version: RecordVersion, AtMS: 1, Cancelled: &CancelledRecord{Reason: "limit"}},
		{Version: RecordVersion, AtMS: 2, Intents: &IntentsRecord{Job: "p.j", Intents: []Intent{{Attempt: "p.j.0.1", Worker: "w"}}}},
		{Version: RecordVersion + 1},
	} {
		raw, err := EncodeRecord(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := DecodeRecord(raw)
		if err != nil {
			return
		}
		if r.Version == 0 || r.Version > RecordVersion {
			t.Fatalf("a record of version %d was accepted", r.Version)
		}
		if _, err := EncodeRecord(r); err != nil {
			t.Fatalf("a decoded record cannot be encoded: %v", err)
		}
	})
}
