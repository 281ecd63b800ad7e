package hostnode

import (
	"context"
	"time"

	"flamingoreach/core/announcement"
	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/configurationfeed/reading"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/io/message"
)

// Platform is what a node asks of the platform it runs on.
type Platform struct {
	// ReadConfiguration and FollowConfiguration read the operators' newest version, now or at its next change after a
	// revision of the store; the latter fails with reading.ErrHistoryGone.
	ReadConfiguration   func(ctx context.Context) (reading.Reading, error)
	FollowConfiguration func(ctx context.Context, revision uint64, wait time.Duration) (reading.Reading, error)
	// ReadMembers, WriteMember and DeleteMember keep the members' rows.
	ReadMembers  func(ctx context.Context, skipped func(key string, err error)) ([]memberrow.Row, error)
	WriteMember  func(ctx context.Context, row memberrow.Row) error
	DeleteMember func(ctx context.Context, id string) error
	// Execute runs a call on the backend server that announced itself, once.
	Execute func(ctx context.Context, ann announcement.Announcement, cal call.Call, msg message.Message) (answer.Answer, message.Message)
	// Sweep closes what idle connections to the backend server are too old, Drop all of them.
	Sweep func()
	Drop  func()
}
