# A voter's folder is lost: it is removed and added again while another voter is cut off. Then the leader of the agreement, whoever
# holds the export and another die within one second. At last all voters lose their folders, and form anew.
name      = "voters are replaced"
seed      = 18
ingresses = 5
voters    = 3
lasts     = "84s"

at "3s" { kill = ["n3"] }
at "6s" {
  start  = ["n3"]
  folder = "empty"
}
at "10s" { voters = "remove n3" }
at "12s" { voters = "add n3" }
at "18s" {
  for = "8s"
  link {
    from = ["n2"]
    to   = ["n1", "n3", "n4", "n5"]
    cut  = true
  }
}
at "32s" { kill = ["holder"] }
at "32.3s" { kill = ["n1"] }
at "32.6s" { kill = ["n4"] }
at "40s" {
  start  = ["all"]
  folder = "kept"
}
at "52s" { kill = ["n1-n3"] }
at "56s" {
  start  = ["n1-n3"]
  folder = "empty"
}

expect "held" {
  is     = "any"
  after  = "14s"
  within = "4s"
}
expect "held" {
  is     = "any"
  after  = "21s"
  within = "5s"
}
expect "held" {
  is     = "any"
  after  = "40s"
  within = "10s"
}
expect "held" {
  is     = "again"
  after  = "56s"
  within = "14s"
}
expect "one" {}
expect "fenced" {}
expect "billed" {}
