package mgmt

import "strconv"

// Count is a statsd line of a count: name:value|c.
func Count(name string, v int64) string { return name + ":" + strconv.FormatInt(v, 10) + "|c" }

// Gauge is a statsd line of a gauge: name:value|g.
func Gauge(name string, v int64) string { return name + ":" + strconv.FormatInt(v, 10) + "|g" }
