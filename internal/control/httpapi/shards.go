package httpapi

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/control/operatorapi"
	"mulleinrouter/internal/control/shards"
)

// maxTransferBytes limits the body of a transfer, which contains a shard's number and an address.
const maxTransferBytes = 4 << 10

// shardEndpoints are the calls of operators about shards.
var shardEndpoints = []endpoint{
	{pattern: "GET /shards", caller: byOperator, handle: (*Server).getShards},
	{pattern: "POST /shards/transfer", maxBody: maxTransferBytes, caller: byOperator, handle: (*Server).transferShard},
}

// getShards returns the shards as this node sees them.
func (s *Server) getShards(*http.Request, []byte) (reply, error) {
	return jsonReply(operatorapi.Shards{Shards: s.options.Coordination.Status()})
}

// transferShard transfers the lease of a shard from this node to another voter.
func (s *Server) transferShard(_ *http.Request, body []byte) (reply, error) {
	var transfer operatorapi.Transfer
	if json.Unmarshal(body, &transfer) != nil || transfer.To == "" {
		return reply{}, badRequest("shard and to: a number and a control address are wanted")
	}
	err := s.options.Coordination.Transfer(transfer.Shard, transfer.To)
	var refused *shards.TransferError
	if errors.As(err, &refused) {
		return reply{}, &Error{http.StatusConflict, refused.Error()}
	}
	if err != nil {
		return reply{}, err
	}
	return okReply, nil
}
