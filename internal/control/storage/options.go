package storage

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/sstable"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Limits of the database. They are small because all stored data is in the node's memory too, and is read from disk
// only at its start.
const (
	cacheBytes                = 1 << 20   // size of the block cache, bytes
	memTableBytes             = 512 << 10 // size of a memtable, bytes
	maxManifestBytes          = 1 << 20   // size at which a new manifest is started, bytes
	maxBaseLevelBytes         = 8 << 20   // size of the base level, bytes
	tableBytes                = 2 << 20   // target size of a table file, bytes
	maxOpenFiles              = 40        // files that the database keeps open
	maxMemTables              = 4         // memtables at which writes stop until one is flushed
	compactionLevel0Sublevels = 4         // sublevels of level 0 that trigger a compaction
	compactionLevel0Files     = 8         // files in level 0 that trigger a compaction
)

// databaseOptions returns the options of the database, which hold a reference to the cache.
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
		L0CompactionThreshold:       compactionLevel0Sublevels,
		L0CompactionFileThreshold:   compactionLevel0Files,
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
	// The default scheduler wakes up ten times a second. That is not needed with one compaction at a time, because the
	// next one can be scheduled when one ends.
	options.Experimental.CompactionScheduler = pebble.NewConcurrencyLimitSchedulerWithNoPeriodicGrantingForTest()
	return options
}

// databaseLogger logs the errors of the database and drops its informational messages.
type databaseLogger struct{ log log.Logger }

func (databaseLogger) Infof(string, ...any) {}

func (d databaseLogger) Errorf(format string, args ...any) {
	level.Error(d.log).Log("msg", "store failed", "err", errors.Newf(format, args...))
}

// Fatalf panics. Failures of the disk are retried below the database (see retryingFS). An error that is fatal to the
// database therefore means that the folder is not as it was written, which is a broken invariant.
func (databaseLogger) Fatalf(format string, args ...any) {
	panic(errors.Newf(format, args...))
}
