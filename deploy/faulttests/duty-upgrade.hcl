# All voters are upgraded one after another, a newer process beside each older one; of two more upgrades of whoever holds the export
# either process dies. The agreement and the duty go on.
name      = "upgrades under a duty"
seed      = 17
ingresses = 3
voters    = 3
lasts     = "66s"

at "4s" { upgrade = ["n1"] }
at "14s" { upgrade = ["n2"] }
at "24s" { upgrade = ["n3"] }
at "38s" {
  upgrade = ["holder"]
  dies    = "old"
}
at "50s" {
  upgrade = ["holder"]
  dies    = "young"
}

expect "held" {
  is     = "any"
  after  = "12s"
  within = "2s"
}
expect "held" {
  is     = "any"
  after  = "32s"
  within = "5s"
}
expect "held" {
  is     = "again"
  after  = "39s"
  within = "8s"
}
expect "held" {
  is     = "any"
  after  = "57s"
  within = "8s"
}
expect "one" {}
expect "fenced" {}
expect "billed" {}
