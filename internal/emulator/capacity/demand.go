package capacity

// demand collects the terms of one requirement.
type demand struct {
	estimator *estimator
	terms     []Term
	allocated float64 // bytes a second that the operations added so far allocate
}

// add adds a term, unless it is 0.
func (d *demand) add(description string, unitCost, count float64) {
	if unitCost*count != 0 {
		d.terms = append(d.terms, Term{Description: description, UnitCost: unitCost, Count: count})
	}
}

// addOperations adds the processor time of operations whose cost depends on a size, and counts the bytes that they
// allocate.
func (d *demand) addOperations(description, series string, size, perSecond float64) {
	cost, allocated := d.estimator.series(series).At(size)
	d.add(description, cost, perSecond)
	d.allocated += allocated * perSecond
}

// addFrames adds the processor time to read or write one more message in a frame, and counts the bytes that this
// allocates.
func (d *demand) addFrames(description, series string, perSecond float64) {
	s := d.estimator.series(series)
	d.add(description, s.Slope, perSecond)
	d.allocated += max(0, s.AllocLine.Slope()) * perSecond
}

// addCollector adds the processor time of the garbage collector for all operations added so far. A collection visits
// the whole live heap, and runs each time the heap has grown by gcPercent of the live heap. The cost for each allocated
// byte therefore does not depend on the size of the live heap.
func (d *demand) addCollector(gcPercent float64) {
	d.add("collector, a byte allocated", d.estimator.unitCost("gc.cycle")*100/gcPercent, d.allocated)
}

// addGarbage increases all terms by the garbage that the heap contains until it is collected.
func (d *demand) addGarbage(gcPercent float64) {
	for n := range d.terms {
		d.terms[n].UnitCost *= 1 + gcPercent/100
	}
}

// addState adds the memory for the part of one kind of state that a process holds. Each item costs the sum of the
// series.
func (d *demand) addState(process *Process, kind stateKind, series ...string) {
	e := d.estimator
	unitCost := 0.0
	for _, name := range series {
		unitCost += e.unitCost(name)
	}
	d.add(kind.name, unitCost, kind.figure(&e.Size.State)*kind.figure(&process.Shares))
}
