# The disk of whoever holds the export fails: it is full, then a sync fails. It gives the duty up, and another goes on. The clocks of
# the members run apart.
name      = "disks under a duty"
seed      = 13
ingresses = 4
voters    = 3
clocks    = { n1 = 1.05, n2 = 0.95 }
lasts     = "56s"

at "6s" {
  disk  = ["holder"]
  fails = "full"
  for   = "10s"
}
at "24s" {
  disk  = ["n4"]
  fails = "torn"
  for   = "4s"
}
at "34s" {
  fill = ["holder"]
  for  = "6s"
}
at "46s" {
  disk  = ["n1"]
  fails = "sync"
}

expect "held" {
  is     = "any"
  within = "6s"
}
expect "held" {
  is     = "again"
  after  = "6s"
  within = "7s"
}
expect "held" {
  is     = "again"
  after  = "34s"
  within = "7s"
}
expect "held" {
  is     = "any"
  after  = "48s"
  within = "8s"
}
expect "one" {}
expect "fenced" {}
expect "billed" {}
