package node

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mulleinrouter/internal/standalone/fleet/leaseservice"
	"mulleinrouter/internal/standalone/usageexport"
	"mulleinrouter/internal/standalone/usagesegment"
)

const (
	// secondaryDirSuffix is appended to the configured folder's name for the usage folder of a newer process, while the
	// older one writes to the configured folder.
	secondaryDirSuffix = ".beside"

	openDirAttempts  = 5                // attempts after the first, at the secondary and the configured folder in turn
	retryInterval    = time.Second      // between attempts to open a locked folder, or to export a leftover batch
	leftoverInterval = 3 * time.Second  // between checks for records of a process that was killed
	exportTimeout    = 30 * time.Second // for one batch to be sent and acknowledged
)

// startUsage records usage and, if the configuration has an endpoint, exports it. While an older process of this
// ingress is running, it writes to the secondary folder, which billing treats as another source. exportLeftovers
// exports records that the older process leaves in the configured folder.
func (n *Node) startUsage(ctx context.Context) error {
	writer, dir, otherDir, err := n.openUsageDir()
	if err != nil {
		return err
	}
	n.server.Meter = writer
	n.closers = append(n.closers, func() {
		if err := writer.Close(); err != nil {
			level.Error(n.log).Log("msg", "cannot close the last usage segment; the next start closes it",
				"code", "usage-bad-segment", "error", err,
			)
		}
	})
	n.spawn(func() { writer.Run(ctx) })
	if n.config.Usage.Endpoint != "" {
		if n.leases != nil { // the holder of the export lease sends for all ingresses
			n.leases.AddExport(n.config.Usage.Endpoint)
		}
		if err := n.startExporter(ctx, dir); err != nil {
			return err
		}
	}
	if n.peers != nil {
		n.spawn(func() { n.exportLeftovers(ctx, otherDir) })
	}
	return nil
}

// openUsageDir opens the configured folder, or the secondary one if another process of this ingress has locked the
// configured one. It returns the folder that it opened and the other one of the two. It makes several attempts, because
// the other process may lock either folder for a moment while it closes leftover segments.
func (n *Node) openUsageDir() (writer *usagesegment.Writer, dir, otherDir string, err error) {
	usage := n.config.Usage
	dir, otherDir = usage.Dir, usage.Dir+secondaryDirSuffix
	writer, err = usagesegment.Open(dir, usage.Rotate, n.log)
	for range openDirAttempts {
		if !errors.Is(err, usagesegment.ErrLocked) || n.peers == nil {
			break
		}
		dir, otherDir = otherDir, dir
		writer, err = usagesegment.Open(dir, usage.Rotate, n.log)
	}
	return writer, dir, otherDir, err
}

// startExporter exports a folder's records until the context ends. If another process is still exporting them, the
// export begins once that process has released its lock.
func (n *Node) startExporter(ctx context.Context, dir string) error {
	exporter := n.newExporter(dir)
	err := exporter.Open()
	if errors.Is(err, usageexport.ErrLocked) {
		n.spawn(func() {
			if n.openWhenUnlocked(ctx, exporter.Open) {
				defer exporter.Close()
				exporter.Run(ctx)
			}
		})
		return nil
	}
	if err != nil {
		return err
	}
	n.closers = append(n.closers, func() { exporter.Close() })
	n.spawn(func() { exporter.Run(ctx) })
	return nil
}

// newExporter returns an exporter of a folder, which is not open yet.
func (n *Node) newExporter(dir string) *usageexport.Exporter {
	exporter := &usageexport.Exporter{
		Dir:       dir,
		Endpoint:  n.config.Usage.Endpoint,
		Retention: n.config.Usage.Keep,
		Log:       n.log,
	}
	if n.leases != nil {
		exporter.Client = &http.Client{
			Timeout:   exportTimeout,
			Transport: leaseservice.ExportTransport{Service: n.leases},
		}
	}
	return exporter
}

// openWhenUnlocked calls open repeatedly until no other process has the folder locked. It returns false if the context
// ends first, or if open fails for another reason.
func (n *Node) openWhenUnlocked(ctx context.Context, open func() error) bool {
	for {
		err := open()
		if err == nil {
			return true
		}
		if !errors.Is(err, usageexport.ErrLocked) && !errors.Is(err, usagesegment.ErrLocked) {
			level.Error(n.log).Log(
				"msg", "cannot export the usage records of another process; the command usage export does it",
				"code", "usage-bad-segment", "error", err,
			)
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryInterval):
		}
	}
}

// exportLeftovers exports the records that another process of this ingress left in its folder, once that process has
// ended. It may be an older process, or a newer one that was killed during an upgrade. The first check that finds any
// segment tries to export the folder, which fails while the other process has it locked. Later checks try again only if
// a segment is open, which is so while that process runs and after it was killed, but not after it closed its segments.
func (n *Node) exportLeftovers(ctx context.Context, dir string) {
	isOpen := func(s usagesegment.Info) bool { return s.Open }
	for first := true; ; {
		segments, err := usagesegment.List(dir)
		leftovers := err == nil && (first && len(segments) > 0 || slices.ContainsFunc(segments, isOpen))
		if leftovers && n.closeOpenSegments(dir) && n.config.Usage.Endpoint != "" {
			n.exportAll(ctx, dir)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(leftoverInterval):
		}
		first = first && !leftovers
	}
}

// closeOpenSegments closes the open segments of a folder, as the next start would. It returns false if it cannot,
// because another process has the folder locked, for example.
func (n *Node) closeOpenSegments(dir string) bool {
	writer, err := usagesegment.Open(dir, n.config.Usage.Rotate, n.log)
	return err == nil && writer.Close() == nil
}

// exportAll exports the records of a folder until none are left or the context ends.
func (n *Node) exportAll(ctx context.Context, dir string) {
	exporter := n.newExporter(dir)
	if !n.openWhenUnlocked(ctx, exporter.Open) {
		return
	}
	defer exporter.Close()
	for ctx.Err() == nil {
		result, err := exporter.Step(ctx)
		if err == nil && !result.Sent {
			level.Info(n.log).Log("msg", "usage records of another process of this ingress exported",
				"code", "usage-inherited", "dir", dir,
			)
			return
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
		}
	}
}
