package catalogue

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/plans"
)

// maxFileBytes is the maximum size of a catalogue file. It bounds memory, because a file is read as a whole.
const maxFileBytes = 64 << 20

// Load reads a catalogue file. It returns the revisions in order of their numbers. Each is valid by itself.
func Load(path string) ([]plans.Revision, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("catalogue: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s:1:1: larger than %d bytes", path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("catalogue: %w", err)
	}
	return Parse(path, text)
}

// Save replaces a catalogue file atomically, so that a concurrent reader gets either the old or the new content.
func Save(path string, revisions []plans.Revision) error {
	temp, err := os.CreateTemp(filepath.Dir(path), ".catalogue-*")
	if err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	defer os.Remove(temp.Name())
	_, err = temp.Write(Format(revisions))
	err = errors.Join(err, temp.Chmod(0o644), temp.Sync(), temp.Close())
	if err == nil {
		err = os.Rename(temp.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("catalogue: %w", err)
	}
	return nil
}

// Apply adds a revision to those of a catalogue, and removes the revisions that precede the one in force. Its errors
// are ErrStale and ErrEarlierStart.
func Apply(revisions []plans.Revision, next plans.Revision, now decision.Seconds) ([]plans.Revision, error) {
	if n := len(revisions); n > 0 {
		last := &revisions[n-1]
		if next.Number <= last.Number {
			return nil, fmt.Errorf("revision %d: %w: %d", next.Number, ErrStale, last.Number)
		}
		if next.EffectiveAt > 0 && next.EffectiveAt < last.EffectiveAt {
			return nil, fmt.Errorf("revision %d: %w", next.Number, ErrEarlierStart)
		}
	}
	inForce := 0
	for i := range revisions {
		if revisions[i].EffectiveAt <= now {
			inForce = i
		}
	}
	return append(slices.Clone(revisions[inForce:]), next), nil
}
