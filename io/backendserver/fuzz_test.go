package backendserver

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/announcement"
)

func FuzzAnnounceHandler(f *testing.F) {
	for _, seed := range []string{
		`{"service":"quotes","address":"127.0.0.1:9000","slots":4,"state":"serving"}`,
		`{"service":"quotes","address":"10.0.0.1:9000","slots":4,"state":"serving"}`,
		`{"service":"other","address":"127.0.0.1:9000","slots":4,"state":"serving"}`,
		`{"service":"quotes","address":"[::1]:0","slots":-1,"state":"gone"}`,
		`{"service":"quotes","address":"127.0.0.1:9000","slots":1e30}`, `[]`, `{`, "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var accepted []announcement.Announcement
		handler := AnnounceHandler("quotes", func(ann announcement.Announcement) { accepted = append(accepted, ann) })
		rec := httptest.NewRecorder()
		handler.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodPost, AnnouncePath, bytes.NewReader(body)))
		if rec.Code != http.StatusNoContent {
			require.Equal(t, http.StatusBadRequest, rec.Code)
			require.Empty(t, accepted)
			return
		}
		require.Len(t, accepted, 1)
		require.Equal(t, "quotes", accepted[0].Service)
		require.True(t, accepted[0].Address.Addr().IsLoopback())
		require.NotZero(t, accepted[0].Address.Port())
		require.Positive(t, accepted[0].Slots)
	})
}
