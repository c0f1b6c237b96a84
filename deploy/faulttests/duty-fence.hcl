# What an older holder sent arrives late, behind what its successor sent: billing refuses it. Then a holder hears the voters and does
# not reach billing: it gives the duty up to one that does.
name      = "late words of an older holder"
seed      = 16
ingresses = 4
voters    = 3
lasts     = "52s"

at "4s" { give = ["n1"] }
at "10s" {
  for = "3s"
  link {
    from  = ["n1"]
    to    = ["billing"]
    delay = "9s"
  }
}
at "12.5s" {
  stop = ["n1"]
  for  = "6s"
}
at "26s" { give = ["n2"] }
at "30s" {
  for = "14s"
  link {
    from = ["n2"]
    to   = ["billing"]
    both = true
    cut  = true
  }
}

expect "held" {
  of     = ["n1"]
  is     = "any"
  after  = "4s"
  within = "5s"
}
expect "held" {
  of     = ["n2-n4"]
  is     = "again"
  after  = "12.5s"
  within = "6s"
}
expect "held" {
  of     = ["n2"]
  is     = "any"
  after  = "26s"
  within = "4s"
}
expect "held" {
  of     = ["n1", "n3", "n4"]
  is     = "again"
  after  = "30s"
  within = "13s"
}
expect "stale" {}
expect "one" {}
expect "fenced" {}
expect "billed" {}
