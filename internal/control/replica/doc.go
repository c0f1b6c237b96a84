// Package replica keeps a control node's replica of the configuration, and its vote if it is a voter.
//
// A Replica answers the rounds of consensus (Prepare, Accept), applies chosen changes (Choose, Learn), and stores its
// promises and accepted proposals on disk before it answers. A node that is missing chosen changes gets them from the
// replica of any other node in chunks, which are staged until they form a complete snapshot (staging.go, chunks.go).
// One mutex guards all state, and is not held while the disk is waited for. The package starts no goroutines.
//
// It imports packages of cluster, control/storage and package mutants. chunks_test.go tests random transfers with lost,
// late and repeated chunks and power losses against the model of package replicatest. Package control tests whole
// nodes.
package replica
