package operator

import (
	"net/http"
	"slices"
	"strings"

	"flamingoreach/core/keyhash"
)

// authenticate rejects calls without a known operator token, unless no tokens are configured. It logs each accepted call with the ID of
// its token.
func (ser *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		operator := "anyone"
		if len(ser.TokenHashes) > 0 {
			scheme, token, _ := strings.Cut(req.Header.Get("Authorization"), " ")
			has := keyhash.Of(token)
			if !strings.EqualFold(scheme, "Bearer") || !slices.Contains(ser.TokenHashes, has) {
				ser.Log.Warn("operator refused", "step", "authenticate operator", "peer", req.RemoteAddr, "path", req.URL.Path)
				http.Error(wri, "unknown operator token", http.StatusUnauthorized)
				return
			}
			operator = has.ID()
		}
		ser.Log.Info("operator call", "operator", operator, "peer", req.RemoteAddr, "path", req.URL.Path)
		next.ServeHTTP(wri, req)
	})
}
