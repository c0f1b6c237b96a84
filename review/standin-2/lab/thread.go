package lab

import "runtime"

func lockThread() { runtime.LockOSThread() }
