# The fleet is cut in two, three times, once with a member that both halves hear; it finds itself again without help. Neither
# half of four says that it hears the whole.
name      = "halves"
seed      = 4
ingresses = 4
lasts     = "50s"

at "1s" {
  for = "9s"
  link {
    from = ["n1", "n2"]
    to   = ["n3", "n4"]
    both = true
    cut  = true
  }
}
at "17s" {
  for = "9s"
  link {
    from = ["n1", "n3"]
    to   = ["n2", "n4"]
    both = true
    cut  = true
  }
}
at "33s" {
  for = "9s"
  link {
    from = ["n1"]
    to   = ["n3", "n4"]
    both = true
    cut  = true
  }
}

expect "judgement" {
  is     = "cut-off"
  after  = "2s"
  within = "8s"
}
expect "not" {
  is     = "whole"
  after  = "6s"
  within = "4s"
}
expect "not" {
  is     = "thinned"
  after  = "6s"
  within = "4s"
}
expect "agree" {
  after  = "10s"
  within = "7s"
}
expect "judgement" {
  is     = "whole"
  after  = "11s"
  within = "6s"
}
expect "judgement" {
  is     = "cut-off"
  after  = "18s"
  within = "8s"
}
expect "judgement" {
  is     = "whole"
  after  = "27s"
  within = "6s"
}
expect "never" {
  is     = "dead"
  after  = "33s"
  within = "16s"
}
expect "judgement" {
  is     = "whole"
  after  = "43s"
  within = "7s"
}
expect "answered" {}
