# The same machine is killed again and again, and comes back: how long until all know, over many kills. With --ingresses 3, 10 or
# 30 at several sizes, with --repeat for more of them.
name      = "kills"
seed      = 21
ingresses = 3
lasts     = "84s"

at "1s" { kill = ["n3"] }
at "9s" {
  start  = ["n3"]
  folder = "kept"
}
at "15s" { kill = ["n3"] }
at "23s" {
  start  = ["n3"]
  folder = "kept"
}
at "29s" { kill = ["n3"] }
at "37s" {
  start  = ["n3"]
  folder = "kept"
}
at "43s" { kill = ["n3"] }
at "51s" {
  start  = ["n3"]
  folder = "kept"
}
at "57s" { kill = ["n3"] }
at "65s" {
  start  = ["n3"]
  folder = "kept"
}
at "71s" { kill = ["n3"] }

expect "state" {
  of     = ["n3"]
  is     = "dead"
  after  = "1s"
  within = "7s"
}
expect "state" {
  of     = ["n3"]
  is     = "alive"
  after  = "9s"
  within = "5s"
}
expect "state" {
  of     = ["n3"]
  is     = "dead"
  after  = "15s"
  within = "7s"
}
expect "state" {
  of     = ["n3"]
  is     = "dead"
  after  = "29s"
  within = "7s"
}
expect "state" {
  of     = ["n3"]
  is     = "dead"
  after  = "43s"
  within = "7s"
}
expect "state" {
  of     = ["n3"]
  is     = "dead"
  after  = "57s"
  within = "7s"
}
expect "state" {
  of     = ["n3"]
  is     = "dead"
  after  = "71s"
  within = "7s"
}
expect "answered" {}
expect "never" {
  of = ["n1", "n2"]
  is = "dead"
}
