package gossip

import (
	"time"

	"mulleinrouter/internal/standalone/fleet/membership"
)

const (
	linksTimeout      = 700 * time.Millisecond // wait for responses, so that an operator's call is answered within 1 s
	maxLinksResponses = 4                      // responses being sent at a time; bounds goroutines and streams
)

// Links asks all members for the state of their links, and returns the states by responding member and by the member at
// the other end of the link. Members that don't respond within linksTimeout are missing.
func (f *Fleet) Links() map[string]map[string]membership.Link {
	f.mu.Lock()
	links := map[string]map[string]membership.Link{f.options.Name: f.ownLinks()}
	queryID := uint64(time.Since(f.startedAt)) // unique within this process
	responses := make(chan *message, membership.MaxMembers)
	f.linksQueries[queryID] = responses
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.linksQueries, queryID)
		f.mu.Unlock()
	}()
	i := f.instance.Load()
	if i == nil {
		return links
	}
	expected := 0
	for _, n := range i.memberlist.Members() {
		if n.Name != f.options.Name {
			expected++
			i.send(n.Name, n.Address(), &message{Kind: linksRequest, From: f.options.Name, QueryID: queryID})
		}
	}
	for timeout := time.After(linksTimeout); len(links) <= expected; {
		select {
		case m := <-responses:
			links[m.From] = m.Links
		case <-timeout:
			return links
		}
	}
	return links
}

// LinkNames returns the result of Links with the names of the states.
func (f *Fleet) LinkNames() map[string]map[string]string {
	all := map[string]map[string]string{}
	for from, links := range f.Links() {
		all[from] = map[string]string{}
		for to, link := range links {
			all[from][to] = link.String()
		}
	}
	return all
}

// ownLinks returns the state of this member's links. The caller holds the mutex.
func (f *Fleet) ownLinks() map[string]membership.Link {
	links := map[string]membership.Link{}
	for _, s := range f.view.Members(f.now()) {
		if s.Name != f.options.Name {
			links[s.Name] = s.Link
		}
	}
	return links
}

// sendLinks responds to a links request. While maxLinksResponses are being sent, further requests are dropped.
func (f *Fleet) sendLinks(request *message) {
	i := f.instance.Load()
	if i == nil {
		return
	}
	select {
	case f.linksResponses <- struct{}{}:
	default:
		return
	}
	f.mu.Lock()
	response := &message{Kind: linksResponse, From: f.options.Name, QueryID: request.QueryID, Links: f.ownLinks()}
	f.mu.Unlock()
	f.spawn(func() {
		defer func() { <-f.linksResponses }()
		for _, n := range i.memberlist.Members() {
			if n.Name == request.From {
				i.memberlist.SendReliable(n, encode(response))
				return
			}
		}
	})
}

// receiveLinks passes a response to the call of Links that waits for it.
func (f *Fleet) receiveLinks(response *message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	query := f.linksQueries[response.QueryID]
	if query == nil || len(response.Links) > membership.MaxMembers {
		return
	}
	select {
	case query <- response:
	default:
	}
}
