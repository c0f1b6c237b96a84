# 30% of all messages are lost, then 60% at one member, then datagrams do not pass at one, then only small ones.
name      = "lost messages"
seed      = 8
ingresses = 5
lasts     = "80s"

at "1s" {
  for = "40s"
  link { loss = 0.3 }
}
at "46s" {
  for = "10s"
  link {
    to   = ["n5"]
    both = true
    loss = 0.6
  }
}
at "58s" {
  for = "8s"
  link {
    to       = ["n4"]
    both     = true
    protocol = "datagrams"
    cut      = true
  }
}
at "68s" {
  for = "5s"
  link { longest = 300 }
}

expect "never" {
  of = ["n1-n3"]
  is = "dead"
}
expect "never" {
  is     = "dead"
  within = "42s"
}
expect "judgement" {
  is     = "whole"
  after  = "74s"
  within = "6s"
}
expect "answered" {}
