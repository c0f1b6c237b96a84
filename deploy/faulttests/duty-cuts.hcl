# The export of use is handed on by command, by a drain and by a planned restart; its holder is cut from the voters but not from
# billing; two of three voters die, and come back. Each request is billed once.
name      = "a duty is handed on"
seed      = 12
ingresses = 4
voters    = 3
lasts     = "62s"

at "5s" { give = ["n4"] }
at "12s" {
  lameduck = ["n4"]
  for      = "3s"
}
at "19.9s" { give = ["n3"] }
at "20s" { give = ["n2"] }
at "26s" {
  for = "10s"
  link {
    from = ["n2"]
    to   = ["n1", "n3", "n4"]
    both = true
    cut  = true
  }
}
at "42s" { kill = ["n1", "n3"] }
at "46s" {
  start  = ["n1", "n3"]
  folder = "kept"
}

expect "held" {
  of     = ["n4"]
  is     = "again"
  after  = "5s"
  within = "4s"
}
expect "held" {
  of     = ["n1-n3"]
  is     = "again"
  after  = "12s"
  within = "4s"
}
expect "held" {
  of     = ["n2"]
  is     = "any"
  after  = "20s"
  within = "5s"
}
expect "held" {
  of     = ["n1", "n3", "n4"]
  is     = "again"
  after  = "26s"
  within = "6s"
}
expect "held" {
  is     = "any"
  after  = "46s"
  within = "10s"
}
expect "one" {}
expect "fenced" {}
expect "billed" {}
