# Links that work one way only: a single one, a ring of them, a member that all hear and that hears none, and the opposite.
# Nobody that others hear is called dead; who hears nobody says of itself that it is cut off.
name      = "one-sided cuts"
seed      = 3
ingresses = 5
lasts     = "44s"

at "1s" {
  for = "10s"
  link {
    from = ["n1"]
    to   = ["n2"]
    cut  = true
  }
}
at "12s" {
  for = "10s"
  link {
    to  = ["n4"]
    cut = true
  }
}
at "28s" {
  for = "8s"
  link {
    from = ["n5"]
    cut  = true
  }
}

expect "never" {
  of = ["n1-n3"]
  is = "dead"
  by = ["n1-n3"]
}
expect "never" {
  of     = ["n4"]
  is     = "dead"
  by     = ["n1-n3"]
  within = "28s"
}
expect "judgement" {
  of     = ["n4"]
  is     = "cut-off"
  after  = "13s"
  within = "8s"
}
expect "judgement" {
  of     = ["n5"]
  is     = "cut-off"
  after  = "29s"
  within = "6s"
}
expect "judgement" {
  is     = "whole"
  after  = "37s"
  within = "7s"
}
expect "answered" {}
