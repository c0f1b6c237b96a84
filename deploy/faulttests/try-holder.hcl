# What `mulleinrouter try --ingress --duty` shows: whoever sends use to billing for all is killed, and another goes on; each request is billed once.
name      = "a holder is killed"
seed      = 15
ingresses = 3
voters    = 3
lasts     = "18s"

at "5s" { kill = ["holder"] }
at "12s" {
  start  = ["all"]
  folder = "kept"
}

expect "held" {
  is     = "any"
  within = "5s"
}
expect "held" {
  is     = "again"
  after  = "5s"
  within = "6s"
}
expect "answered" {}
expect "one" {}
expect "fenced" {}
expect "billed" {}
