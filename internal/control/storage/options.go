package storage

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/sstable"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Sizes of the database, in bytes. They are small: all that is stored is in the node's memory too, and is read at its
// start alone.
const (
	cacheBytes           = 1 << 20
	memTableBytes        = 512 << 10
	maxManifestBytes     = 1 << 20
	maxBaseLevelBytes    = 8 << 20
	tableBytes           = 2 << 20
	maxOpenFiles         = 40
	maxMemTables         = 4
	compactionSublevels  = 4
	compactionLevel0Size = 8 // files
)

// databaseOptions are the options of the database. It takes a reference to the cache.
func databaseOptions(fs vfs.FS, cache *pebble.Cache, logger log.Logger) *pebble.Options {
	options := &pebble.Options{
		FS:                          fs,
		Cache:                       cache,
		FormatMajorVersion:          pebble.FormatValueSeparation,
		Logger:                      databaseLogger{logger},
		MemTableSize:                memTableBytes,
		MemTableStopWritesThreshold: maxMemTables,
		MaxOpenFiles:                maxOpenFiles,
		MaxManifestFileSize:         maxManifestBytes,
		L0CompactionThreshold:       compactionSublevels,
		L0CompactionFileThreshold:   compactionLevel0Size,
		LBaseMaxBytes:               maxBaseLevelBytes,
		CompactionConcurrencyRange:  func() (int, int) { return 1, 1 },
		DisableTableStats:           true,
	}
	for i := range options.Levels {
		options.Levels[i].Compression = func() *sstable.CompressionProfile { return sstable.NoCompression }
	}
	for i := range options.TargetFileSizes {
		options.TargetFileSizes[i] = tableBytes
	}
	// The usual scheduler wakes up ten times a second. With one compaction at a time, the end of each is occasion
	// enough to look for the next.
	options.Experimental.CompactionScheduler = pebble.NewConcurrencyLimitSchedulerWithNoPeriodicGrantingForTest()
	return options
}

// databaseLogger logs the errors of the database and drops its information.
type databaseLogger struct{ log log.Logger }

func (databaseLogger) Infof(string, ...any) {}

func (d databaseLogger) Errorf(format string, args ...any) {
	level.Error(d.log).Log("msg", "store failed", "err", errors.Newf(format, args...))
}

// Fatalf panics. Failures of the disk are retried below the database (see retryingFS), so what is fatal to it is a
// folder that is not as it was written: a broken invariant.
func (databaseLogger) Fatalf(format string, args ...any) {
	panic(errors.Newf(format, args...))
}
