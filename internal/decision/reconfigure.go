package decision

// Reconfigure has the gateway go by other classes and another number of attempts from now on, as an operator's SIGHUP
// brings them. Each request in hand holds the class it began with and keeps it; requests of a class that is dropped
// and that come later are decided as those of a class that was never told. It is not part of the simulator's policy:
// there, settings never change.
func (g *Gateway) Reconfigure(classes []Class, maxAttempts int) {
	g.settings.Classes = classes
	g.classes = make(map[string]*Class, len(classes))
	for i := range classes {
		g.classes[classes[i].Name] = &classes[i]
	}
	g.settings.MaxAttempts = max(1, maxAttempts)
}

// PoolSize tells how many quote servers the list has, and how many of these the gateway avoids now: it rests them
// after failures, or because they turned work away.
func (g *Gateway) PoolSize(now Seconds) (listed, avoided int) {
	for b := range g.allBackends() {
		if !b.listed {
			continue
		}
		listed++
		if b.ejectedUntil > now || b.overloadedUntil > now {
			avoided++
		}
	}
	return listed, avoided
}
