# One machine: an ingress with its quote servers written down, no discovery and no counter service beside it.
#
#   go run ./cmd/mulleinrouter check deploy/single.hcl
#   go run ./cmd/mulleinrouter serve -c deploy/single.hcl
#
# Spans of time are words such as "250ms"; rates are units a second. docs/operate/plans.md explains plans, the
# catalogue and the records of use.

name       = "single"
listen     = "127.0.0.1:8080"
log_level  = "info"   # debug, info, warn or error; a change is in force at SIGHUP
log_format = "logfmt" # or json; from the next start

limits {
  cores     = 1
  memory_mb = 192
  sockets   = 1024
}

# With a second ingress on this machine, both name the same counter: one has it embedded, the other its address.
#
# fleet {
#   ingresses = 2
#   number    = 0
# }
# counter {
#   embedded = "127.0.0.1:6400"
# }

rules {
  max_attempts    = 4
  max_retry_after = "5s"
  connect_timeout = "250ms"
  keepalive       = "30s"
  max_units       = 6
}

server "quotes-1" {
  address = "127.0.0.1:9001"
  kind    = "a"
}

server "quotes-2" {
  address = "127.0.0.1:9002"
  kind    = "b"
  size    = 0.5
}

class "quote-read" {
  aim        = "500ms"
  deadline   = "2s"
  worth      = 1
  late_worth = 0.2
  repeat     = "safe"
}

class "summary-send" {
  aim        = "1s"
  deadline   = "3s"
  worth      = 4
  late_worth = 0.5
  repeat     = "never"
}

plan "basic" {
  rate         = 4
  burst        = 12
  price        = 1
  beyond_costs = 0.5
}

plan "plus" {
  rate          = 20
  burst         = 60
  price         = 2
  excess_worth  = 0.3
  ceiling_rate  = 40
  ceiling_depth = 120
  ceiling_slack = 12
}

# Plans and memberships that change in service, and what is booked ahead:
#
# catalogue {
#   file = "plans.hcl"
# }

# A record of use for billing:
#
# usage {
#   dir      = "/var/lib/mulleinrouter/usage"
#   endpoint = "https://billing.example/v1/batches"
#   rotate   = "1m"
#   keep     = "168h"
# }
