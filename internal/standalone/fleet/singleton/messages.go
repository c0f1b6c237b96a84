package singleton

// AcquireRequest is sent by an ingress to all voters. It names the roles that the ingress requests and the leases that
// it renews.
type AcquireRequest struct {
	From  Identity      `cbor:"1,keyasint"`
	ID    uint64        `cbor:"2,keyasint"` // chosen by the sender, and repeated in the response
	Zone  string        `cbor:"3,keyasint,omitempty"`
	Load  float64       `cbor:"4,keyasint,omitempty"` // 0 to 1
	Roles []RoleRequest `cbor:"5,keyasint"`
}

// RoleRequest is one role of a request.
type RoleRequest struct {
	Role          string `cbor:"1,keyasint"`
	Token         uint64 `cbor:"2,keyasint,omitempty"` // token of the lease that the sender holds; 0 if it holds none
	Release       bool   `cbor:"3,keyasint,omitempty"` // the sender releases the role, or is no longer a candidate
	PreferredZone string `cbor:"4,keyasint,omitempty"` // zone from which the role's holder is chosen first
}

// AcquireResponse is the leader's response to an AcquireRequest. It has the status of each requested role, whether or
// not the sender holds it.
type AcquireResponse struct {
	ID       uint64       `cbor:"1,keyasint"` // id of the request
	Statuses []RoleStatus `cbor:"2,keyasint"`
}

// RoleStatus is one role of a response.
type RoleStatus struct {
	Role      string `cbor:"1,keyasint"`
	Token     uint64 `cbor:"2,keyasint"` // token of the last grant
	Confirmed bool   `cbor:"3,keyasint"` // the sender's lease was renewed after its request arrived
	StepDown  bool   `cbor:"4,keyasint"` // the sender must release the role because it is being transferred
	Holder    string `cbor:"5,keyasint"` // name of the holder; empty if the role is free
	IsHolder  bool   `cbor:"6,keyasint"` // the sender holds the role, confirmed or not
}
