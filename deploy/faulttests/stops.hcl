# Processes stand still for 1, 3 and 20 s, and all of them together for 5 s, as on a machine starved of CPU. Those that were
# not stopped are never called dead, and who wakes accuses nobody.
name      = "processes stand still"
seed      = 2
ingresses = 5
lasts     = "46s"

at "1s" {
  stop = ["n1"]
  for  = "1s"
}
at "4s" {
  stop = ["n2"]
  for  = "3s"
}
at "10s" {
  stop = ["n3"]
  for  = "20s"
}
at "36s" {
  stop = ["all"]
  for  = "5s"
}

expect "never" {
  of = ["n1", "n4", "n5"]
  is = "dead"
}
expect "state" {
  of     = ["n3"]
  is     = "dead"
  by     = ["n1", "n2", "n4", "n5"]
  after  = "10s"
  within = "8s"
}
expect "state" {
  of     = ["n3"]
  is     = "alive"
  after  = "30s"
  within = "5s"
}
expect "judgement" {
  of     = ["n3"]
  is     = "cut-off"
  after  = "29s"
  within = "3s"
}
expect "judgement" {
  is     = "whole"
  after  = "41s"
  within = "5s"
}
expect "answered" {}
