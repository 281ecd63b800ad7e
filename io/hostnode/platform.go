package hostnode

import (
	"context"
	"net/netip"
	"time"

	"flamingoreach/core/announcement"
	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/configurationfeed/reading"
	"flamingoreach/core/crash/record"
	"flamingoreach/core/departure"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/io/message"
)

// Platform holds the functions by which a node uses the platform that it runs on.
type Platform struct {
	// ReadConfiguration reads the operators' newest version. FollowConfiguration waits up to a time for the next change
	// after a revision of the store; it fails with reading.ErrHistoryExpired if the store no longer has all changes
	// since that revision.
	ReadConfiguration   func(ctx context.Context) (reading.Reading, error)
	FollowConfiguration func(ctx context.Context, revision uint64, wait time.Duration) (reading.Reading, error)
	// ReadMembers, WriteMember and DeleteMember access the members' rows; skipped is called for each row that is
	// ignored.
	ReadMembers  func(ctx context.Context, skipped func(key string, err error)) ([]memberrow.Row, error)
	WriteMember  func(ctx context.Context, row memberrow.Row) error
	DeleteMember func(ctx context.Context, id string) error
	// ReadCrashRecords and WriteCrashRecords access the crash records of a service; skipped is called for each record that
	// is ignored. Records without crashes are deleted.
	ReadCrashRecords  func(ctx context.Context, service string, skipped func(key string, err error)) ([]record.Record, error)
	WriteCrashRecords func(ctx context.Context, service string, records []record.Record) error
	// ReadDeparture reads the latest departure on a host from the store and reports whether there is one. WriteDeparture
	// writes it.
	ReadDeparture  func(ctx context.Context, host netip.AddrPort) (departure.Departure, bool, error)
	WriteDeparture func(ctx context.Context, dep departure.Departure) error
	// ProbeBackendServer asks the process of an announcement whether it serves. An error means that it did not say.
	ProbeBackendServer func(ctx context.Context, ann announcement.Announcement) (serving bool, err error)
	// RaiseStoreEra, if set, tells the store's client an era that this node has learnt from another node. The client drops
	// answers of an earlier era, and reports the eras to Node.ReceiveStoreEra and Node.ReceiveLateAnswer.
	RaiseStoreEra func(era uint64)
	// Execute sends a call once to the backend server that the announcement describes.
	Execute func(ctx context.Context, ann announcement.Announcement, cal call.Call, msg message.Message) (answer.Answer, message.Message)
	// Sweep closes the connections to the backend server that were idle too long, and CloseIdle closes all idle ones.
	Sweep     func()
	CloseIdle func()
}
