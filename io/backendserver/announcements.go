package backendserver

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"flamingoreach/core/announcement"
)

// AnnouncePath is the path to which a backend server posts its announcements.
const AnnouncePath = "/flamingoreach/announce"

// announcementBytes bounds the body of an announcement.
const announcementBytes = 4096

// AnnounceHandler returns the handler that decodes announcements and calls accept with the valid ones for a service. It
// answers 204 to these and 400 to all others.
func AnnounceHandler(service string, accept func(ann announcement.Announcement)) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		var ann announcement.Announcement
		err := json.NewDecoder(http.MaxBytesReader(wri, htr.Body, announcementBytes)).Decode(&ann)
		if err == nil {
			err = check(ann, service)
		}
		if err != nil {
			http.Error(wri, eris.ToString(err, false), http.StatusBadRequest)
			return
		}
		accept(ann)
		wri.WriteHeader(http.StatusNoContent)
	})
}

func check(ann announcement.Announcement, service string) error {
	switch {
	case ann.Service != service:
		return eris.Errorf("announcement: service is %q, this node serves %q", ann.Service, service)
	case !ann.Address.IsValid() || !isLoopbackWithPort(ann.Address):
		return eris.New("announcement: address must be a loopback address with a port")
	case ann.Slots < 1:
		return eris.New("announcement: slots must be at least 1")
	case ann.State != "serving" && ann.State != "draining":
		return eris.Errorf("announcement: state %q is neither serving nor draining", ann.State)
	}
	return nil
}

func isLoopbackWithPort(address netip.AddrPort) bool {
	return address.Addr().IsLoopback() && address.Port() != 0
}
