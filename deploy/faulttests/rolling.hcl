# An upgrade of one ingress (two processes, one member), a drain by operators, and a rolling restart of all. Who leaves says so
# before its listener closes: nobody is called dead, and all requests are answered.
name      = "a rolling restart"
seed      = 6
ingresses = 3
lasts     = "40s"

at "1s" { upgrade = ["n1"] }
at "10s" {
  lameduck = ["n2"]
  for      = "2s"
}
at "14s" { term = ["n1"] }
at "18s" { start = ["n1"] }
at "21s" { term = ["n2"] }
at "25s" { start = ["n2"] }
at "28s" { term = ["n3"] }
at "32s" { start = ["n3"] }

expect "never" { is = "dead" }
expect "agree" {
  after  = "5s"
  within = "5s"
}
expect "state" {
  of     = ["n2"]
  is     = "left"
  by     = ["n1", "n3"]
  after  = "21s"
  within = "4s"
}
expect "state" {
  of     = ["n3"]
  is     = "left"
  by     = ["n1", "n2"]
  after  = "28s"
  within = "4s"
}
expect "judgement" {
  is     = "whole"
  after  = "33s"
  within = "6s"
}
expect "answered" {}
