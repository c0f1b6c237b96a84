package configuration

// claim is a list of the routes or tenants that claim one key, in order of precedence: the first one has the key, and
// when it withdraws its claim the next one takes over. Claims are immutable.
type claim[T any] struct {
	entity *T
	next   *claim[T]
}

type claimant[T any] interface {
	*T
	takesPrecedenceOver(*T) bool
}

func withClaimant[T any, P claimant[T]](c *claim[T], entity P) *claim[T] {
	if c == nil || entity.takesPrecedenceOver(c.entity) {
		return &claim[T]{entity, c}
	}
	return &claim[T]{c.entity, withClaimant(c.next, entity)}
}

func (c *claim[T]) without(entity *T) *claim[T] {
	switch {
	case c == nil:
		return nil
	case c.entity == entity:
		return c.next
	}
	return &claim[T]{c.entity, c.next.without(entity)}
}

// addClaim adds a claim on a key to an index.
func addClaim[K hashed, T any, P claimant[T]](index trie[K, *claim[T]], e *edit, key K, entity P) trie[K, *claim[T]] {
	c, _ := index.get(key)
	return index.with(e, key, withClaimant(c, entity))
}

// removeClaim removes a claim on a key from an index.
func removeClaim[K hashed, T any](index trie[K, *claim[T]], e *edit, key K, entity *T) trie[K, *claim[T]] {
	c, _ := index.get(key)
	if c = c.without(entity); c != nil {
		return index.with(e, key, c)
	}
	return index.without(e, key)
}
