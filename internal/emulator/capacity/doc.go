// Package capacity estimates what each role of the system needs at a planned size: memory, processor time, bytes a
// second and latency. It multiplies unit costs from a run of package costmodel by the counts of a plan, and finds for
// each requirement up to which part of the planned size its limit is kept.
//
//   - plan.go: the plan, its size, which role holds which state, and limits; read.go and parameters.go: its file;
//   - slopes.go: the run of the cost model that is part of the program;
//   - requirement.go: one requirement, the sum of its terms beside its limit;
//   - estimator.go and demand.go: sums of terms from measured costs; rates.go: events a second;
//   - ingress.go, control.go, latency.go: the requirements of an ingress, of a control node, and of response times;
//   - estimate.go: all requirements of a plan, and the search for the size at which a limit is reached;
//   - report.go and format.go: the estimate as a table.
//
// It imports costmodel, the parser of settings files, and of the control side only its bounds (quota.MaxNames,
// registry.MaxInstances). It does no I/O but to write a report to the caller's writer, starts no goroutine and keeps
// no state: a Plan does not change once it is read. The tests are beside it; TestShippedPlans reads deploy/plans, which
// docs/CAPACITY.md explains.
package capacity
