package decision

// Reconfigure applies new classes and a new number of attempts, which the host has reloaded on SIGHUP. Each
// pending request keeps the class that it started with. Later requests of a removed class are handled like
// those of an unknown class. Settings never change in the simulator, so this file is not part of its
// policy.
func (g *Gateway) Reconfigure(classes []Class, maxAttempts int) {
	g.settings.Classes = classes
	g.classes = make(map[string]*Class, len(classes))
	for i := range classes {
		g.classes[classes[i].Name] = &classes[i]
	}
	g.settings.MaxAttempts = max(1, maxAttempts)
}
