# A fleet of eighty: a kill, a tenth of it stopped for 3 s, 30% of all messages lost, halves for 10 s. It takes some two minutes
# and four cores; the limits are those that docs/design/membership.md aims at.
name      = "eighty"
seed      = 9
ingresses = 80
lasts     = "110s"

at "5s" { kill = ["n80"] }
at "20s" {
  stop = ["n11-n18"]
  for  = "3s"
}
at "35s" {
  for = "20s"
  link { loss = 0.3 }
}
at "65s" {
  for = "10s"
  link {
    from = ["n1-n40"]
    to   = ["n41-n79"]
    both = true
    cut  = true
  }
}

expect "state" {
  of     = ["n80"]
  is     = "dead"
  by     = ["n1-n79"]
  after  = "5s"
  within = "5s"
}
expect "never" {
  of     = ["n1-n10", "n19-n79"]
  is     = "dead"
  within = "64s"
}
expect "judgement" {
  of     = ["n41-n79"]
  is     = "cut-off"
  after  = "66s"
  within = "9s"
}
expect "not" {
  of     = ["n41-n79"]
  is     = "whole"
  after  = "69s"
  within = "6s"
}
expect "not" {
  of     = ["n41-n79"]
  is     = "thinned"
  after  = "72s"
  within = "3s"
}
expect "agree" {
  after  = "75s"
  within = "25s"
}
expect "answered" {}
