package operatorapi

// Members is the body of GET /members.
type Members struct {
	Epoch      uint64   `json:"epoch"`         // of the configuration of the node that answers
	SinceEpoch uint64   `json:"sinceEpoch"`    // epoch in which these became the voters; 0 means the first start
	AgeSeconds float64  `json:"standsSeconds"` // seconds for which this node has known these voters
	Wanted     int      `json:"wanted"`        // voters needed for the configured losses; at least the present number
	Contact    bool     `json:"contact"`       // whether the node is in contact with a majority of them
	Voters     []Member `json:"voters"`
	Learners   []Member `json:"learners"`
}

// Member is the state of a control node as known to the node that answers, which may be the same node.
type Member struct {
	Addr               string  `json:"at"` // control address
	Zone               string  `json:"zone,omitempty"`
	Disk               string  `json:"disk,omitempty"`  // id of the disk that holds a voter's vote, in hexadecimal
	LastContactSeconds float64 `json:"heardSecondsAgo"` // seconds since its last update or ping answer; -1 if none
	EpochsBehind       uint64  `json:"behind"`          // epochs by which it is behind the node that answers
	Up                 bool    `json:"up"`              // whether it is connected and has answered recently
	// DiskReplaced means that the node that answers is listed as a voter with a disk that it no longer has.
	DiskReplaced bool `json:"otherDisk,omitempty"`
	Self         bool `json:"thisControl,omitempty"` // whether it is the node that answers
}

// Replacement is the body of POST /members/replace. Both are control addresses.
type Replacement struct {
	Out string `json:"out"` // a voter
	In  string `json:"in"`  // a learner
}

// Shards is the body of GET /shards.
type Shards struct {
	Shards []Shard `json:"shards"`
}

// Shard is the state of a shard of locks, numbers and cells as known to the node that answers.
type Shard struct {
	Number      uint32 `json:"shard"`
	Leaseholder string `json:"leaseholder"` // control address; empty if unknown to the node that answers
	Term        uint64 `json:"term"`
	Batch       uint64 `json:"batch"` // number of the node's last batch
	Lease       bool   `json:"lease"` // whether the node that answers holds the lease
	// LeaseAgeMs is the time since the newest message that a majority has answered was sent, in milliseconds.
	LeaseAgeMs int64 `json:"leaseAgeMs,omitempty"`
	// The counts of locks, numbers, cells and events are known to the leaseholder only.
	Locks    int       `json:"locks,omitempty"`
	Numbers  int       `json:"numbers,omitempty"`
	Cells    int       `json:"cells,omitempty"`
	Events   int       `json:"events,omitempty"`
	Replicas []Replica `json:"replicas"`
}

// Replica is a replica of a shard.
type Replica struct {
	Addr    string `json:"at"` // control address
	Learner bool   `json:"learner,omitempty"`
	// Behind is the number of batches that it has not confirmed to the leaseholder, or -1 if the node that answers is
	// not the leaseholder.
	Behind int64 `json:"behind"`
}

// Transfer is the body of POST /shards/transfer. The call must go to the leaseholder, which transfers its lease.
type Transfer struct {
	Shard uint32 `json:"shard"`
	To    string `json:"to"` // control address of another voter
}
