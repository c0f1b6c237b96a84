// Package capacity estimates the memory, processor time, network bandwidth and latency that each role of the system
// needs at a planned size. It multiplies unit costs from a run of package costmodel by the counts of a plan. For each
// requirement it also finds the largest part of the planned size at which the need stays within its limit.
//
//   - plan.go: the plan: its size, the state that each role holds, and the limits;
//   - read.go and parameters.go: the plan's file;
//   - slopes.go: the run of the cost model that is part of the program;
//   - requirement.go: one requirement: its terms, their sum, and its limit;
//   - estimator.go and demand.go: sums of terms from measured costs;
//   - rates.go: events a second;
//   - ingress.go, control.go, latency.go: the requirements of an ingress, of a control node, and of response times;
//   - estimate.go: all requirements of a plan, and the search for the size at which a limit is reached;
//   - report.go and format.go: the estimate as a table.
//
// It imports costmodel, the parser of settings files, and from the control plane only its bounds (quota.MaxNames,
// registry.MaxInstances). Its only I/O is to write a report to the caller's writer. It starts no goroutine and keeps no
// state: a Plan does not change once it is read. TestShippedPlans reads deploy/plans, which docs/CAPACITY.md explains.
package capacity
