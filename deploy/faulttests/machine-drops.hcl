# A machine drops, and comes back with the folder it had. Nobody else is called dead, and all requests are answered.
name      = "a machine drops"
seed      = 1
ingresses = 5
lasts     = "16s"

at "1s" { kill = ["n5"] }
at "9s" {
  start  = ["n5"]
  folder = "kept"
}

expect "state" {
  of     = ["n5"]
  is     = "dead"
  by     = ["n1-n4"]
  after  = "1s"
  within = "7s"
}
expect "state" {
  of     = ["n5"]
  is     = "alive"
  after  = "9s"
  within = "6s"
}
expect "agree" {
  after  = "9s"
  within = "7s"
}
expect "never" {
  of = ["n1-n4"]
  is = "dead"
}
expect "judgement" {
  is     = "whole"
  after  = "10s"
  within = "6s"
}
expect "answered" {}
