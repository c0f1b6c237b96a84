package httpapi

import (
	"net/http"
	"time"

	"mulleinrouter/internal/cluster/configuration"
)

const (
	maxPatchBytes  = 28 << 20               // what a frame between control nodes holds
	changeTimeout  = 850 * time.Millisecond // an operator waits for a second, and longer if the patch is long
	timeoutPerItem = time.Millisecond       // more, for each item beyond shortPatch
	shortPatch     = 100                    // items
)

// patchConfig has the items of a patch chosen by the voters. It answers 200 once they are on a majority of disks.
func (s *Server) patchConfig(r *http.Request, body []byte) (reply, error) {
	items, err := configuration.ReadPatch(body)
	if err != nil {
		return reply{}, err
	}
	if len(items) == 0 {
		return okReply, nil
	}
	timeout := changeTimeout + timeoutPerItem*time.Duration(max(0, len(items)-shortPatch))
	if err := s.options.Proposals.Change(r.Context(), items, timeout); err != nil {
		return reply{}, err
	}
	return okReply, nil
}

// getConfig returns the newest configuration.
func (s *Server) getConfig(*http.Request, []byte) (reply, error) {
	if err := s.options.Proposals.Read(changeTimeout); err != nil {
		return reply{}, err
	}
	_, snapshot := s.options.Replica.Snapshot()
	return reply{http.StatusOK, snapshot.RenderJSON()}, nil
}
