package operatorapi

// Members is the body of GET /members.
type Members struct {
	Epoch      uint64   `json:"epoch"`         // of the configuration here
	SinceEpoch uint64   `json:"sinceEpoch"`    // that made these the voters; 0: the first start
	AgeSeconds float64  `json:"standsSeconds"` // for which they have been the voters, as seen by this node
	Wanted     int      `json:"wanted"`        // voters that tolerate the configured losses
	Contact    bool     `json:"contact"`       // this node is in contact with a majority of them
	Voters     []Member `json:"voters"`
	Learners   []Member `json:"learners"`
}

// Member is a control node as another sees it.
type Member struct {
	Addr               string  `json:"at"` // control address
	Zone               string  `json:"zone,omitempty"`
	Disk               string  `json:"disk,omitempty"`  // of a voter: the disk that holds its vote, in hexadecimal
	LastContactSeconds float64 `json:"heardSecondsAgo"` // since its last update, or its answer to a ping; -1: never
	EpochsBehind       uint64  `json:"behind"`          // the node that answers
	Up                 bool    `json:"up"`              // it is connected and has answered recently
	// DiskReplaced tells that the node that answers is listed with a disk that it has lost.
	DiskReplaced bool `json:"otherDisk,omitempty"`
	Self         bool `json:"thisControl,omitempty"` // the node that answers
}

// Replacement is the body of POST /members/replace. Both are control addresses.
type Replacement struct {
	Out string `json:"out"` // a voter
	In  string `json:"in"`  // a learner
}
