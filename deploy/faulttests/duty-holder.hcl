# Whoever holds the export of use is killed; the next one stands still for ten leases in the middle of it and is continued. Each
# request is billed once, and what an older holder sends is refused.
name      = "the holder of a duty goes"
seed      = 11
ingresses = 3
voters    = 3
lasts     = "60s"

at "6s" { kill = ["holder"] }
at "14s" {
  start  = ["all"]
  folder = "kept"
}
at "20s" {
  stop = ["holder"]
  for  = "30s"
}

expect "held" {
  is     = "any"
  within = "6s"
}
expect "held" {
  is     = "again"
  after  = "6s"
  within = "6s"
}
expect "held" {
  is     = "again"
  after  = "20s"
  within = "7s"
}
expect "held" {
  is     = "any"
  after  = "52s"
  within = "5s"
}
expect "one" {}
expect "fenced" {}
expect "billed" {}
