package replication

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/transport"
)

// LogItemLeftOut returns a Source.OnItemLeftOut that logs the item.
func LogItemLeftOut(logger log.Logger) func(node string, key configuration.Key) {
	return func(node string, key configuration.Key) {
		level.Warn(logger).Log("msg", "item too long for a subscriber of an earlier version", "node", node, "item", key)
	}
}

const (
	// maxUnsplitBody is the longest body of an item that is sent in one update, in bytes. ChangesSince returns a longer
	// item alone if it is asked for chunkBytes.
	maxUnsplitBody = chunkBytes
	// partBytes is the length of the parts of a longer body. At 2 Mbit/s a part takes half of initialSyncIdle.
	partBytes = 32 << 10
)

// longItem returns the item of the changes that must be sent in parts; nil if there is none.
func (c *Changes) longItem() *configuration.Item {
	if len(c.Items) != 1 || len(c.Items[0].Body) <= maxUnsplitBody {
		return nil
	}
	return &c.Items[0]
}

// splitBody returns the parts of the body of an item.
func splitBody(item *configuration.Item) (parts []transport.ItemPart) {
	for offset := 0; offset < len(item.Body); offset += partBytes {
		end := min(offset+partBytes, len(item.Body))
		parts = append(parts, transport.ItemPart{
			Key: item.Key, Version: item.Version, Offset: offset, Length: len(item.Body), Data: item.Body[offset:end],
		})
	}
	return parts
}

// bodyAssembly collects the parts of an item's body. The zero value is empty.
type bodyAssembly struct {
	key     configuration.Key
	version uint64
	length  int
	body    []byte
}

// add adds the part in an update. With the last part, it sets the body of the update's item. It returns false if the
// part does not continue the body, or the body is longer than an item's may be.
func (a *bodyAssembly) add(update *transport.Update) bool {
	part := update.Part
	if part == nil {
		return true
	}
	if part.Offset == 0 {
		*a = bodyAssembly{key: part.Key, version: part.Version, length: part.Length}
	}
	continues := part.Key == a.key && part.Version == a.version && part.Length == a.length &&
		part.Offset == len(a.body) && len(part.Data) > 0
	if !continues || a.length > configuration.MaxBodyBytes || part.Offset+len(part.Data) > a.length {
		return false
	}
	a.body = append(a.body, part.Data...)
	if !part.Last() {
		return len(update.Items) == 0
	}
	if len(update.Items) != 1 || update.Items[0].Key != a.key || update.Items[0].Version != a.version {
		return false
	}
	update.Items[0].Body = a.body
	*a = bodyAssembly{}
	return true
}
