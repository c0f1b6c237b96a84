# Revisions of the catalogue are written at several ingresses, under one number with two contents at times, while their announcer is
# killed, stopped and cut off, and the disk of one is full. All come to hold one order.
name      = "plans in one order"
seed      = 14
ingresses = 4
voters    = 3
catalogue = true
lasts     = "62s"

at "3s" { revise = ["n2"] }
at "6s" { revise = ["n1", "n3", "n4"] }
at "6.05s" { kill = ["n3"] }
at "12s" { revise = ["n4"] }
at "16s" {
  start  = ["n3"]
  folder = "kept"
}
at "22s" {
  fill = ["n2"]
  for  = "6s"
}
at "23s" { revise = ["n1"] }
at "32s" {
  for = "10s"
  link {
    from = ["n1"]
    to   = ["n2", "n3", "n4"]
    both = true
    cut  = true
  }
}
at "34s" { revise = ["n1"] }
at "34.5s" { revise = ["n2"] }
at "48s" {
  stop = ["n2"]
  for  = "4s"
}
at "49s" { revise = ["n3"] }

expect "announced" {
  after  = "3s"
  within = "3s"
}
expect "announced" {
  after  = "6.5s"
  within = "5s"
}
expect "announced" {
  after  = "12s"
  within = "4s"
}
expect "announced" {
  after  = "16s"
  within = "6s"
}
expect "announced" {
  after  = "23s"
  within = "9s"
}
expect "announced" {
  after  = "42s"
  within = "7s"
}
expect "announced" {
  after  = "52s"
  within = "8s"
}
expect "one" {}
expect "fenced" {}
expect "billed" {}
