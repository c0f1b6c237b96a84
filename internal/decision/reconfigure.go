package decision

// Reconfigure puts other classes and another number of attempts into force, as an operator's SIGHUP brings
// them. Each pending request keeps the class it began with. Later requests of a class that was removed are
// decided as those of an unknown class. In the simulator settings never change, so this file is no part of
// its policy.
func (g *Gateway) Reconfigure(classes []Class, maxAttempts int) {
	g.settings.Classes = classes
	g.classes = make(map[string]*Class, len(classes))
	for i := range classes {
		g.classes[classes[i].Name] = &classes[i]
	}
	g.settings.MaxAttempts = max(1, maxAttempts)
}
