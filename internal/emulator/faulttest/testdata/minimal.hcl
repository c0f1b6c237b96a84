
name      = "n1"
listen    = "127.64.1.1:1"
mgmt      = "127.0.0.1:0"
state     = "/dir/n1"
discovery = "127.0.0.1:2"

fleet {
  ingresses = 2
  number    = 0
  zone      = "a"
  membership {
    fleet     = "rehearsal 127.64.1"
    listen    = "127.64.1.1:4"
    advertise = "127.0.0.1:5"
    join      = ["127.0.0.1:5", "127.0.0.1:6"]
    interval  = "300ms"
    
    
    
  }
}



plan "basic" {
  rate  = 1000
  burst = 1000
  price = 1
}


counter {
  address = "127.0.0.1:3"
}

class "quote-read" {
  aim      = "500ms"
  deadline = "2s"
  repeat   = "safe"
}
