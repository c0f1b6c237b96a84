package quorum

import "errors"

// Errors of a Store.
var (
	// ErrNoSpace means that the disk is full. Nothing was stored, and the store is as it was.
	ErrNoSpace = errors.New("no space left on the disk")
	// ErrLocked means that another process has the store open.
	ErrLocked = errors.New("locked by another process")
	// ErrCorrupt means that the store does not hold what was written.
	ErrCorrupt = errors.New("corrupt")
)

// Errors of messages from other voters.
var (
	// ErrMessageTooLong means that a message exceeds the bound for messages between voters.
	ErrMessageTooLong = errors.New("message too long")
)

// Errors of changes of the voters.
var (
	// ErrNotLeader means that this voter does not lead.
	ErrNotLeader = errors.New("this voter does not lead")
	// ErrUnknownVoter means that no voter has the name.
	ErrUnknownVoter = errors.New("no voter has this name")
	// ErrNotJoining means that no voter with the name has asked to be added.
	ErrNotJoining = errors.New("it does not wait to be added: is it up, is it named as a voter, and its folder empty?")
)
