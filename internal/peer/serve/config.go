package serve

import (
	"context"
	"encoding/json"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
)

// Configuration returns the changes of the configuration since a version.
type Configuration interface {
	Update(have uint64) config.Update
}

// FetchConfig returns the configuration sections that changed since the
// caller's version.
func (s *Service) FetchConfig(_ context.Context, in *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	return EncodeUpdate(s.Config.Update(in.GetHaveVersion()))
}

// EncodeUpdate encodes an update as a message.
func EncodeUpdate(u config.Update) (*peerv1.FetchConfigResponse, error) {
	head, err := json.Marshal(u.Header)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode header")
	}
	resp := &peerv1.FetchConfigResponse{Version: u.Header.Version, Head: head}
	for _, c := range u.Sections {
		resp.Sections = append(resp.Sections, &peerv1.ConfigSection{Name: c.Name, Revision: c.Revision, Body: c.Body})
	}
	return resp, nil
}

// DecodeUpdate decodes an update from a message. Its errors are of kind
// BadAnswer.
func DecodeUpdate(resp *peerv1.FetchConfigResponse) (config.Update, error) {
	var u config.Update
	if err := json.Unmarshal(resp.GetHead(), &u.Header); err != nil {
		return config.Update{}, fault.Wrap(fault.BadAnswer, err, "decode header")
	}
	if u.Header.Version == 0 || u.Header.Version != resp.GetVersion() {
		return config.Update{}, fault.New(fault.BadAnswer, "header has version %d, but the response has version %d", u.Header.Version, resp.GetVersion())
	}
	for _, c := range resp.GetSections() {
		section := config.Section{Name: c.GetName(), Revision: c.GetRevision()}
		if len(c.GetBody()) > 0 {
			section.Body = c.GetBody()
		}
		u.Sections = append(u.Sections, section)
	}
	return u, nil
}
