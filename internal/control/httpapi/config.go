package httpapi

import (
	"net/http"
	"time"

	"mulleinrouter/internal/cluster/configuration"
)

const (
	// maxPatchBytes limits the body of a patch, because its items must fit into one frame between control nodes.
	maxPatchBytes = 28 << 20
	// changeTimeout limits a change or read of the configuration. Operators wait for one second for the answer to a
	// short patch, and longer for that to a long one.
	changeTimeout   = 850 * time.Millisecond
	timeoutPerItem  = time.Millisecond // added to changeTimeout for each item beyond shortPatchItems
	shortPatchItems = 100              // number of items of a patch for which changeTimeout suffices
)

// patchConfig proposes the items of a patch to the voters. It answers 200 once they are on a majority of the disks.
func (s *Server) patchConfig(r *http.Request, body []byte) (reply, error) {
	items, err := configuration.ReadPatch(body)
	if err != nil {
		return reply{}, err
	}
	if len(items) == 0 {
		return okReply, nil
	}
	timeout := changeTimeout + timeoutPerItem*time.Duration(max(0, len(items)-shortPatchItems))
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
	return reply{status: http.StatusOK, body: snapshot.RenderJSON()}, nil
}
