package crashlink

import (
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/crash"
	"flamingoreach/core/crash/record"
)

// recordMessage is a record.Record as it is sent. It holds ages instead of times, because the clocks of two hosts may
// differ.
type recordMessage struct {
	Fingerprint uint64         `json:"fingerprint" cbor:"1,keyasint"`
	Crashes     []crashMessage `json:"crashes" cbor:"2,keyasint,omitempty"`
	// ClearedAge is nil if the record was never cleared.
	ClearedAge *time.Duration `json:"clearedAge,omitempty" cbor:"3,keyasint,omitempty"`
	// Regions are the only regions whose nodes may have the record; nil means no restriction.
	Regions []string `json:"regions,omitempty" cbor:"4,keyasint,omitempty"`
	// Common is that of record.Record.
	Common bool `json:"common,omitempty" cbor:"5,keyasint,omitempty"`
}

// crashMessage is one crash of a recordMessage.
type crashMessage struct {
	ID  uuid.UUID     `json:"id" cbor:"1,keyasint"`
	Age time.Duration `json:"age" cbor:"2,keyasint"`
}

func encodeRecords(records []record.Record, now time.Time) []recordMessage {
	messages := make([]recordMessage, 0, len(records))
	for _, rec := range records {
		msg := recordMessage{Fingerprint: rec.Fingerprint, Common: rec.Common, Regions: rec.Regions}
		for _, cra := range rec.Crashes {
			msg.Crashes = append(msg.Crashes, crashMessage{ID: cra.ID, Age: now.Sub(cra.At)})
		}
		if !rec.Cleared.IsZero() {
			age := now.Sub(rec.Cleared)
			msg.ClearedAge = &age
		}
		messages = append(messages, msg)
	}
	return messages
}

// decodeRecords leaves out messages without a fingerprint. An age below zero counts as zero.
func decodeRecords(messages []recordMessage, now time.Time) []record.Record {
	records := make([]record.Record, 0, len(messages))
	for _, msg := range messages {
		if msg.Fingerprint == 0 {
			continue
		}
		rec := record.Record{Fingerprint: msg.Fingerprint, Common: msg.Common, Regions: msg.Regions}
		for _, cra := range msg.Crashes {
			rec.Crashes = append(rec.Crashes, crash.Crash{ID: cra.ID, Fingerprint: msg.Fingerprint, At: now.Add(-max(cra.Age, 0))})
		}
		if msg.ClearedAge != nil {
			rec.Cleared = now.Add(-max(*msg.ClearedAge, 0))
		}
		records = append(records, rec)
	}
	return records
}
