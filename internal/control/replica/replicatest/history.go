package replicatest

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
)

// maxHistory is the maximum number of superseded versions in an item's history (configuration.Item).
const maxHistory = 16

// Replica is the replica that the model drives and checks.
type Replica interface {
	Snapshot() (epoch uint64, snapshot *configuration.Snapshot)
	Choose(consensus.Proposal) consensus.Base
}

// History is a sequence of random changes. Changes[n] makes epoch n+1.
type History struct {
	Random   *rand.Rand
	Names    int // number of different item names
	BodySize int // approximate size of an item's body, bytes
	MaxItems int // maximum number of items in a change
	Changes  []consensus.Proposal
}

// Grow appends a number of random changes.
func (h *History) Grow(changes int) {
	for range changes {
		epoch := uint64(len(h.Changes) + 1)
		p := consensus.Proposal{Epoch: epoch}
		for k := range h.Random.IntN(h.MaxItems + 1) { // a change may have no items
			name := fmt.Sprint("t", h.Random.IntN(h.Names))
			if slices.ContainsFunc(p.Items, func(i configuration.Item) bool { return i.Key.Name == name }) {
				continue
			}
			item := configuration.Item{
				Key:     configuration.Key{Kind: configuration.Tenants, Name: name},
				Version: epoch,
				Epoch:   epoch,
			}
			if item.Deleted = (int(epoch)+k)%7 == 0; !item.Deleted {
				item.Body = fmt.Appendf(nil, `{"generation":"%08x","x":"%0*d"}`, epoch, h.BodySize, epoch)
			}
			p.Items = append(p.Items, item)
		}
		h.Changes = append(h.Changes, p)
	}
}

// Newest is the epoch of the last change.
func (h *History) Newest() uint64 { return uint64(len(h.Changes)) }

// ItemsAt returns the items in the snapshot of an epoch.
func (h *History) ItemsAt(epoch uint64) map[configuration.Key]configuration.Item {
	items := map[configuration.Key]configuration.Item{}
	for _, p := range h.Changes[:epoch] {
		for _, item := range p.Items {
			items[item.Key] = item
		}
	}
	return items
}

// Check compares a replica's snapshot with the model's snapshot of the same epoch. It returns the first difference,
// or an empty string if there is none.
func (h *History) Check(r Replica) string {
	epoch, snapshot := r.Snapshot()
	want := h.ItemsAt(epoch)
	versions := map[configuration.Key][]uint64{} // versions of each item, the newest first
	for _, p := range slices.Backward(h.Changes[:epoch]) {
		for _, item := range p.Items {
			versions[item.Key] = append(versions[item.Key], item.Version)
		}
	}
	if snapshot.Len() != len(want) {
		return fmt.Sprintf("got %d items at epoch %d, want %d", snapshot.Len(), epoch, len(want))
	}
	for item := range snapshot.All() {
		if w := want[item.Key]; !w.SameContent(item) || w.Epoch != item.Epoch {
			return fmt.Sprintf("at epoch %d: got %v of epoch %d and version %d, want %d and %d",
				epoch, item.Key, item.Epoch, item.Version, w.Epoch, w.Version)
		}
		var got []uint64
		if item.History != nil {
			for _, past := range *item.History {
				got = append(got, past.Version)
			}
		}
		if all := versions[item.Key][1:]; !slices.Equal(got, all[:min(maxHistory, len(all))]) {
			return fmt.Sprintf("at epoch %d: the history of %v is %v, want the newest of %v", epoch, item.Key, got, all)
		}
	}
	return ""
}

// Apply applies to a replica, one by one, the changes up to an epoch that it does not have yet.
func (h *History) Apply(r Replica, epoch uint64) {
	at, _ := r.Snapshot()
	for _, p := range h.Changes[at:epoch] {
		r.Choose(p)
	}
}
