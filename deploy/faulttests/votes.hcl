# Of six quote servers one is bad for all, and then another for one ingress alone, whose link to it is cut. All are warned of the first by
# the others; nobody of the second.
name      = "a server is bad"
seed      = 33
ingresses = 5
share     = true
servers   = 6
customers = 6
quota     = 50
lasts     = "44s"

at "6s" {
  server = 3
  for    = "12s"
}
at "28s" {
  for = "12s"
  link {
    from = ["n2"]
    to   = ["quotes5"]
    both = true
    cut  = true
  }
}

expect "warned" {
  is     = "some"
  after  = "6s"
  within = "14s"
}
expect "warned" {
  is     = "none"
  after  = "27s"
  within = "17s"
}
