package lab

import (
	"net/http"
	"time"
)

// Route is a route of the configuration.
func Route(prefix, kind, service, generation string) map[string]any {
	return map[string]any{
		"authority": "a.example", "pathPrefix": prefix, "routeKind": kind, "deadlineMs": 5000, "targetMs": 800, "priority": 1,
		"backend": service, "maxTries": 2, "public": true, "generation": generation,
	}
}

// Service is a service of the configuration.
func Service(generation string) map[string]any {
	return map[string]any{
		"healthPath": "/health", "maxConns": 130, "protocol": "h1", "tlsMode": false, "generation": generation,
	}
}

// Limits are the limits of the configuration.
func Limits(generation string) map[string]any {
	return map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		"generation": generation,
	}
}

// StartAll starts all programs, sends the first configuration, and waits until the proxies are ready.
func (l *Lab) StartAll(first map[string]any) {
	for _, p := range l.all {
		p.Start()
	}
	taken := false
	for n, end := 0, time.Now().Add(20*time.Second); !taken && time.Now().Before(end); n++ {
		status, _, _ := Call(time.Second, "PATCH", "http://"+l.CoreNodes[n%len(l.CoreNodes)].Control()+"/config", first)
		if taken = status == http.StatusOK; !taken {
			time.Sleep(200 * time.Millisecond)
		}
	}
	if !taken {
		l.Fatal("the first configuration was not taken")
	}
	for _, p := range l.Proxies {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(200 * time.Millisecond) {
			if status, _, _ := Call(time.Second, "GET", "http://"+p.Ready()+"/readiness", nil); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				l.Fatal("%s does not get ready", p.Name)
			}
		}
	}
}
