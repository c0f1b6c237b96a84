# The key is rotated while a third of the fleet is cut off, and what is not of the fleet comes meanwhile: rubbish, packets that
# are too long, another fleet's. It changes nothing and is counted.
name      = "a new key"
seed      = 7
ingresses = 3
sealed    = true
lasts     = "34s"

at "1s" {
  rubbish = ["n1", "n2"]
}
at "2s" { keys = "add" }
at "2100ms" { reload = ["all"] }
at "4s" {
  for = "8s"
  link {
    from = ["n3"]
    both = true
    cut  = true
  }
}
at "5s" { keys = "turn" }
at "6s" { reload = ["n1", "n2"] }
at "20s" { reload = ["n3"] }
at "23s" { keys = "drop" }
at "24s" { reload = ["all"] }

expect "refused" { of = ["n1", "n2"] }
expect "never" {
  of = ["n1", "n2"]
  is = "dead"
  by = ["n1", "n2"]
}
expect "judgement" {
  of     = ["n3"]
  is     = "cut-off"
  after  = "5s"
  within = "6s"
}
expect "judgement" {
  is     = "whole"
  after  = "13s"
  within = "6s"
}
expect "judgement" {
  is     = "whole"
  after  = "27s"
  within = "6s"
}
expect "answered" {}
