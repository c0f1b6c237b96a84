# What machines remember of themselves: killed and back at once, with an empty folder, with one restored from before, with a
# full disk; and a second machine under a name that is taken.
name      = "folders"
seed      = 5
ingresses = 4
lasts     = "50s"

at "0s" { save = ["n2"] }
at "1s" { kill = ["n1"] }
at "1500ms" {
  start  = ["n1"]
  folder = "kept"
}
at "6s" { kill = ["n2"] }
at "7s" {
  start  = ["n2"]
  folder = "kept"
}
at "12s" { kill = ["n2"] }
at "13s" {
  start  = ["n2"]
  folder = "saved"
}
at "19s" { kill = ["n3"] }
at "20s" {
  start  = ["n3"]
  folder = "empty"
}
at "26s" {
  fill = ["n4"]
  for  = "5s"
}
at "34s" { twin = ["n4"] }

expect "never" {
  of     = ["n1", "n4"]
  is     = "dead"
  within = "33s"
}
expect "agree" {
  after  = "2s"
  within = "4s"
}
expect "agree" {
  after  = "14s"
  within = "5s"
}
expect "agree" {
  after  = "21s"
  within = "5s"
}
expect "judgement" {
  of     = ["n4"]
  is     = "cut-off"
  after  = "34s"
  within = "12s"
}
expect "answered" {}
