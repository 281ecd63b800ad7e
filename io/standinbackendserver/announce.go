package standinbackendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/core/announcement"
	"flamingoreach/io/backendserver"
	"flamingoreach/io/standinbackendserver/record"
)

const announceTimeout = 800 * time.Millisecond

// sendAnnouncements sends the announcements that the control thread queues, until the context ends.
func (bas *BackendServer) sendAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case ann := <-bas.announcements:
			bas.sendAnnouncement(ctx, ann)
			if ann.State == announcedDraining {
				close(bas.drainAnnounced)
			}
		}
	}
}

func (bas *BackendServer) sendAnnouncement(ctx context.Context, ann announcement.Announcement) {
	if !bas.NodeAddress.IsValid() {
		return
	}
	err := bas.postAnnouncement(ctx, ann)
	bas.recorder.count(func(rec *record.Record) {
		if err != nil {
			rec.AnnouncementsLost++
			return
		}
		rec.AnnouncementsAccepted++
	})
}

func (bas *BackendServer) postAnnouncement(ctx context.Context, ann announcement.Announcement) error {
	body, err := json.Marshal(ann)
	if err != nil {
		return eris.Wrap(err, "encode announcement")
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	target := "http://" + bas.NodeAddress.String() + backendserver.AnnouncePath
	htr, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "build announcement for node %s", bas.NodeAddress)
	}
	res, err := bas.client.Do(htr)
	if err != nil {
		return eris.Wrapf(err, "announce to node %s", bas.NodeAddress)
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("announce to node %s: status %d", bas.NodeAddress, res.StatusCode)
	}
	return nil
}
