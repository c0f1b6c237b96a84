package capacity

// demand is the sum of the terms of one requirement, as it is built.
type demand struct {
	estimator *estimator
	terms     []Term
	allocated float64 // bytes a second, by the operations added so far
}

// add adds a term, unless it is 0.
func (d *demand) add(description string, unitCost, count float64) {
	if unitCost*count != 0 {
		d.terms = append(d.terms, Term{Description: description, UnitCost: unitCost, Count: count})
	}
}

// addOperations adds the processor time of operations whose cost depends on a size, and what they allocate.
func (d *demand) addOperations(description, series string, size, perSecond float64) {
	cost, allocated := d.estimator.series(series).At(size)
	d.add(description, cost, perSecond)
	d.allocated += allocated * perSecond
}

// addFrames adds the processor time to read or write one more message in a frame, and what that allocates.
func (d *demand) addFrames(description, series string, perSecond float64) {
	s := d.estimator.series(series)
	d.add(description, s.Slope, perSecond)
	d.allocated += max(0, s.AllocLine.Slope()) * perSecond
}

// addCollector adds the processor time of the garbage collector for all that was added so far. A collection walks the
// live heap each time the heap has grown by gcPercent of it, so its cost for each allocated byte does not depend on how
// much is live.
func (d *demand) addCollector(gcPercent float64) {
	d.add("collector, a byte allocated", d.estimator.unitCost("gc.cycle")*100/gcPercent, d.allocated)
}

// addGarbage raises all terms by the garbage that the heap holds until it is collected.
func (d *demand) addGarbage(gcPercent float64) {
	for n := range d.terms {
		d.terms[n].UnitCost *= 1 + gcPercent/100
	}
}

// addState adds the memory for what a process holds of one kind of state: each item costs the sum of the series.
func (d *demand) addState(process *Process, kind stateKind, series ...string) {
	e := d.estimator
	unitCost := 0.0
	for _, name := range series {
		unitCost += e.unitCost(name)
	}
	d.add(kind.name, unitCost, kind.of(&e.Size.State)*kind.of(&process.Shares))
}
