package operator

import (
	"context"
	"errors"
	"strings"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/timestamppb"

	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationdiff"
	"flamingoreach/core/patchresult"
	"flamingoreach/io/configurationfile"
	"flamingoreach/io/operator/operatorv1"
)

// ShowConfiguration returns the requested version, or the one in force at this node if the request names none. It fails with not_found
// if there is no such version.
func (ser *Server) ShowConfiguration(ctx context.Context, req *connect.Request[operatorv1.ShowConfigurationRequest]) (*connect.Response[operatorv1.ShowConfigurationResponse], error) {
	cfg := ser.View().Configuration
	if version := req.Msg.GetVersion(); version > 0 {
		read, err := ser.Version(ctx, version)
		if err != nil {
			return nil, encodeError(err)
		}
		cfg = &read
	}
	if cfg == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no configuration is known"))
	}
	text, err := configurationfile.Encode(*cfg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&operatorv1.ShowConfigurationResponse{Version: cfg.Version, PatchId: cfg.PatchID, Text: text}), nil
}

// PatchConfiguration checks the text of a configuration and proposes it as the version that follows the base version.
// An ID that is no UUID or a text that cannot be decoded gives the result RESULT_INVALID. It fails with internal if the
// patch could not be submitted.
func (ser *Server) PatchConfiguration(ctx context.Context, req *connect.Request[operatorv1.PatchConfigurationRequest]) (*connect.Response[operatorv1.PatchConfigurationResponse], error) {
	var body configuration.Configuration
	id, err := uuid.Parse(req.Msg.GetId())
	if err == nil {
		body, err = configurationfile.Decode("patch", req.Msg.GetText())
	}
	if err != nil {
		return connect.NewResponse(&operatorv1.PatchConfigurationResponse{
			Result: operatorv1.Result_RESULT_INVALID, Id: req.Msg.GetId(), Details: strings.Split(err.Error(), "\n"),
		}), nil
	}
	res, err := ser.Patch(ctx, id, req.Msg.GetBase(), body)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	enc := encodeResult(res)
	if res.Kind == patchresult.Outdated {
		ser.addChanges(ctx, enc, req.Msg.GetBase())
	}
	return connect.NewResponse(enc), nil
}

// addChanges adds to the response for an outdated patch what changed since its base version, or why that is not known.
func (ser *Server) addChanges(ctx context.Context, enc *operatorv1.PatchConfigurationResponse, base uint64) {
	changes, err := ser.compare(ctx, base, enc.GetVersion())
	if err != nil {
		enc.Details = append(enc.Details, "what changed is not known: "+err.Error())
		return
	}
	enc.Changes = changes
}

var results = map[patchresult.Kind]operatorv1.Result{
	patchresult.Accepted: operatorv1.Result_RESULT_ACCEPTED,
	patchresult.Outdated: operatorv1.Result_RESULT_OUTDATED,
	patchresult.Invalid:  operatorv1.Result_RESULT_INVALID,
	patchresult.Refused:  operatorv1.Result_RESULT_REFUSED,
	patchresult.Unknown:  operatorv1.Result_RESULT_UNSPECIFIED,
}

func encodeResult(res patchresult.Result) *operatorv1.PatchConfigurationResponse {
	enc := &operatorv1.PatchConfigurationResponse{Result: results[res.Kind], Version: res.Version, Id: res.PatchID}
	if res.Kind == patchresult.Outdated {
		enc.Version = res.Current.Version
	}
	for _, fau := range res.Faults {
		enc.Details = append(enc.Details, fau.Field+": "+fau.Problem)
	}
	for _, name := range res.Unreachable {
		enc.Details = append(enc.Details, "data centre "+name+" did not prepare the patch")
	}
	return enc
}

// The number of versions that ListVersions returns: by default, and at most.
const (
	defaultVersions = 20
	maxVersions     = 200
)

// ListVersions returns the last accepted versions in ascending order, 200 at most; it fails with unavailable if the
// table cannot be read.
func (ser *Server) ListVersions(ctx context.Context, req *connect.Request[operatorv1.ListVersionsRequest]) (*connect.Response[operatorv1.ListVersionsResponse], error) {
	last := int(req.Msg.GetLast())
	if last == 0 {
		last = defaultVersions
	}
	list, err := ser.Versions(ctx, min(last, maxVersions))
	if err != nil {
		return nil, encodeError(err)
	}
	res := &operatorv1.ListVersionsResponse{}
	for _, acc := range list {
		enc := &operatorv1.AcceptedVersion{Version: acc.Version, PatchId: acc.PatchID, Digest: acc.Digest}
		if !acc.At.IsZero() {
			enc.Accepted = timestamppb.New(acc.At)
		}
		res.Versions = append(res.Versions, enc)
	}
	return connect.NewResponse(res), nil
}

// CompareConfigurations returns what changed between two versions; it fails with not_found if there is no such version.
func (ser *Server) CompareConfigurations(ctx context.Context, req *connect.Request[operatorv1.CompareConfigurationsRequest]) (*connect.Response[operatorv1.CompareConfigurationsResponse], error) {
	differences, err := ser.compare(ctx, req.Msg.GetOldVersion(), req.Msg.GetNewVersion())
	if err != nil {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&operatorv1.CompareConfigurationsResponse{Differences: differences}), nil
}

func (ser *Server) compare(ctx context.Context, old, next uint64) ([]*operatorv1.Difference, error) {
	before, err := ser.readVersion(ctx, old)
	if err != nil {
		return nil, err
	}
	after, err := ser.readVersion(ctx, next)
	if err != nil {
		return nil, err
	}
	var differences []*operatorv1.Difference
	for _, dif := range configurationdiff.Between(&before, &after) {
		differences = append(differences, &operatorv1.Difference{Field: dif.Field, Old: dif.Old, New: dif.New})
	}
	return differences, nil
}

// readVersion returns a version of the configuration; version 0 is the default configuration, which precedes the first patch.
func (ser *Server) readVersion(ctx context.Context, version uint64) (configuration.Configuration, error) {
	if version == 0 {
		return configuration.Default(), nil
	}
	return ser.Version(ctx, version)
}

// DeclareOut declares a data centre out, so that patches no longer wait for it. It fails with not_found if the table
// lists none of that name, with aborted if its row changes at the same time, and with unavailable if the table cannot
// be read or written.
func (ser *Server) DeclareOut(ctx context.Context, req *connect.Request[operatorv1.DeclareOutRequest]) (*connect.Response[operatorv1.DeclareOutResponse], error) {
	err := ser.DeclareDataCentreOut(ctx, req.Msg.GetDataCentre())
	if err != nil {
		ser.Log.Warn("data centre not declared out", "step", "declare data centre out", "dataCentre", req.Msg.GetDataCentre(), "error", err)
		return nil, encodeError(err)
	}
	ser.Log.Info("data centre declared out", "dataCentre", req.Msg.GetDataCentre())
	return connect.NewResponse(&operatorv1.DeclareOutResponse{}), nil
}
