package usagesegment

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"mulleinrouter/internal/dataplane/usage"
)

// Names of files in the folder.
const (
	lockFile     = "lock"
	sourceFile   = "source"
	namePrefix   = "usage-"
	openSuffix   = ".open"  // suffix of a segment that is being written, or was left open
	sealedSuffix = ".seg"   // suffix of a closed segment
	spareSuffix  = ".spare" // suffix of a preallocated segment
)

const (
	folderPerm = 0o755
	filePerm   = 0o644

	sourceBytes = 8 // random bytes in the name of the source, which is written in hexadecimal
)

// Info describes a segment of a folder.
type Info struct {
	Number uint64
	Path   string
	Open   bool // the segment is being written, or was left open
}

// List returns the segments of a folder in the order of their numbers.
func List(dir string) ([]Info, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var all []Info
	for _, entry := range entries {
		base, open := strings.CutSuffix(entry.Name(), openSuffix)
		base, sealed := strings.CutSuffix(base, sealedSuffix)
		digits, found := strings.CutPrefix(base, namePrefix)
		number, err := strconv.ParseUint(digits, 10, 64)
		if err == nil && found && open != sealed {
			all = append(all, Info{Number: number, Path: filepath.Join(dir, entry.Name()), Open: open})
		}
	}
	slices.SortFunc(all, func(a, b Info) int { return cmp.Compare(a.Number, b.Number) })
	return all, nil
}

func segmentName(number uint64, suffix string) string {
	return fmt.Sprintf("%s%016d%s", namePrefix, number, suffix)
}

// Read reads a segment completely. Errors about its header are those of usage.ParseHeader.
func Read(path string) (usage.Header, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return usage.Header{}, nil, err
	}
	header, err := usage.ParseHeader(data)
	if err != nil {
		return header, nil, fmt.Errorf("%s: %w", path, err)
	}
	return header, data, nil
}

// Source returns the name of a folder's records. If the folder has no name of the right length, it chooses a random one
// and stores it. The name must not change afterwards, because it and a batch's number identify the batch for billing.
func Source(dir string) (string, error) {
	path := filepath.Join(dir, sourceFile)
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	if name := strings.TrimSpace(string(text)); err == nil && len(name) == hex.EncodedLen(sourceBytes) {
		return name, nil
	}
	var b [sourceBytes]byte
	rand.Read(b[:])
	name := hex.EncodeToString(b[:])
	if err := os.WriteFile(path+".new", []byte(name+"\n"), filePerm); err != nil {
		return "", err
	}
	return name, os.Rename(path+".new", path)
}
