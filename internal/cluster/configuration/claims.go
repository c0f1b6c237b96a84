package configuration

// claim is a list of those who claim one thing, in the order of their precedence: the first has it, and once it gives
// it up the next one does. Claims are immutable.
type claim[T any] struct {
	by   *T
	next *claim[T]
}

type claimant[T any] interface {
	*T
	takesPrecedenceOver(*T) bool
}

func withClaimant[T any, P claimant[T]](c *claim[T], by P) *claim[T] {
	if c == nil || by.takesPrecedenceOver(c.by) {
		return &claim[T]{by, c}
	}
	return &claim[T]{c.by, withClaimant(c.next, by)}
}

func (c *claim[T]) without(by *T) *claim[T] {
	switch {
	case c == nil:
		return nil
	case c.by == by:
		return c.next
	}
	return &claim[T]{c.by, c.next.without(by)}
}

// addClaim adds a claim on a key to an index.
func addClaim[K hashed, T any, P claimant[T]](index trie[K, *claim[T]], e *edit, key K, by P) trie[K, *claim[T]] {
	c, _ := index.get(key)
	return index.with(e, key, withClaimant(c, by))
}

// removeClaim removes a claim on a key from an index.
func removeClaim[K hashed, T any](index trie[K, *claim[T]], e *edit, key K, by *T) trie[K, *claim[T]] {
	c, _ := index.get(key)
	if c = c.without(by); c != nil {
		return index.with(e, key, c)
	}
	return index.without(e, key)
}
