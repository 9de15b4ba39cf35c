package serve_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/serve"
)

// FuzzDecodeUpdate decodes arbitrary messages of a peer. Every accepted message
// must encode to one with the same version and number of sections.
func FuzzDecodeUpdate(f *testing.F) {
	resp, err := serve.EncodeUpdate(config.Update{
		Header:   config.Header{Version: 3, EditID: "x"},
		Sections: []config.Section{{Name: "kinds", Revision: 3, Body: []byte("[]")}, {Name: "account/a", Revision: 2}},
	})
	if err != nil {
		f.Fatal(err)
	}
	b, err := proto.Marshal(resp)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var resp peerv1.FetchConfigResponse
		if proto.Unmarshal(b, &resp) != nil {
			return
		}
		u, err := serve.DecodeUpdate(&resp)
		if err != nil {
			if !fault.Is(err, fault.BadAnswer) {
				t.Fatal(err)
			}
			return
		}
		encoded, err := serve.EncodeUpdate(u)
		if err != nil || encoded.GetVersion() != resp.GetVersion() || len(encoded.GetSections()) != len(resp.GetSections()) {
			t.Fatal(err)
		}
	})
}
