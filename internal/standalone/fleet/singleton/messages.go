package singleton

// AcquireRequest is sent by an ingress to all voters: the roles that it requests, and the leases that it renews.
type AcquireRequest struct {
	From  Identity      `cbor:"1,keyasint"`
	ID    uint64        `cbor:"2,keyasint"` // chosen by the sender
	Zone  string        `cbor:"3,keyasint,omitempty"`
	Load  float64       `cbor:"4,keyasint,omitempty"` // 0 to 1
	Roles []RoleRequest `cbor:"5,keyasint"`
}

// RoleRequest is one role of a request.
type RoleRequest struct {
	Role          string `cbor:"1,keyasint"`
	Token         uint64 `cbor:"2,keyasint,omitempty"` // of the lease that the sender holds; 0: none
	Release       bool   `cbor:"3,keyasint,omitempty"` // the sender gives the role up, or is no candidate any more
	PreferredZone string `cbor:"4,keyasint,omitempty"` // of the role's holder
}

// AcquireResponse is the leader's response to an AcquireRequest: the status of each role that it names, granted or not.
type AcquireResponse struct {
	ID       uint64       `cbor:"1,keyasint"` // of the request
	Statuses []RoleStatus `cbor:"2,keyasint"`
}

// RoleStatus is one role of a response.
type RoleStatus struct {
	Role      string `cbor:"1,keyasint"`
	Token     uint64 `cbor:"2,keyasint"` // of the last grant
	Confirmed bool   `cbor:"3,keyasint"` // the sender's lease was renewed after its request arrived
	StepDown  bool   `cbor:"4,keyasint"` // the sender is to give the role up: it is to be transferred
	Holder    string `cbor:"5,keyasint"` // empty: nobody
	IsHolder  bool   `cbor:"6,keyasint"` // the sender holds the role, confirmed or not
}
