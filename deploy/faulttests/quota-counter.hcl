# The counter goes, comes back empty, and is another one for each half of the ingresses, while customers that ask for 1.2 times their
# quota change the ingress through which most of it comes. No customer uses much more than its quota, and most of it is to be had.
name      = "quotas without the counter"
seed      = 31
ingresses = 4
share     = true
customers = 4
quota     = 20
lasts     = "80s"

at "12s" { counter = "gone" }
at "24s" { shift = true }
at "36s" { counter = "empty" }
at "46s" { counter = "split" }
at "56s" { shift = true }
at "64s" { counter = "back" }

expect "use" {
  after  = "4s"
  within = "8s"
  most   = 1.1
  least  = 0.6
}
expect "use" {
  after  = "15s"
  within = "9s"
  most   = 1.1
  least  = 0.6
}
expect "use" {
  after  = "27s"
  within = "9s"
  most   = 1.1
  least  = 0.6
}
expect "use" {
  after  = "36s"
  within = "10s"
  most   = 1.1
  least  = 0.6
}
expect "use" {
  after  = "48s"
  within = "16s"
  most   = 1.1
  least  = 0.6
}
expect "use" {
  after  = "70s"
  within = "10s"
  most   = 1.1
  least  = 0.6
}
expect "answered" {}
