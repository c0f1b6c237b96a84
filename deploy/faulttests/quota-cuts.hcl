# While the counter is gone, the ingresses are cut in halves, one hears nothing, one stands still for 10 s, one is killed and is back at
# once with nothing: no customer uses more than its quota, and some of it is to be had all along.
name      = "quotas in parts of a fleet"
seed      = 32
ingresses = 4
share     = true
customers = 4
quota     = 20
lasts     = "78s"

at "6s" { counter = "gone" }
at "16s" {
  for = "12s"
  link {
    from = ["n1", "n2"]
    to   = ["n3", "n4"]
    both = true
    cut  = true
  }
}
at "22s" { shift = true }
at "34s" {
  for = "8s"
  link {
    to  = ["n3"]
    cut = true
  }
}
at "46s" {
  stop = ["n1"]
  for  = "10s"
}
at "60s" { kill = ["n2"] }
at "60.5s" {
  start  = ["n2"]
  folder = "empty"
}

expect "use" {
  after  = "9s"
  within = "7s"
  most   = 1.15
  least  = 0.5
}
expect "use" {
  after  = "16s"
  within = "14s"
  most   = 1.1
  least  = 0.3
}
expect "use" {
  after  = "34s"
  within = "10s"
  most   = 1.1
  least  = 0.3
}
expect "use" {
  after  = "46s"
  within = "13s"
  most   = 1.1
  least  = 0.1
}
expect "use" {
  after  = "60s"
  within = "18s"
  most   = 1.1
  least  = 0.3
}
