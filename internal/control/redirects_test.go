package control

import (
	"net/http"
	"net/url"
)

// maxRedirects is how many redirects the callers of control nodes follow.
const maxRedirects = 2

// followRedirects makes a call at a node, and repeats it at the address of a 307 as the callers of control nodes do.
// Call makes one call, and returns its answer and the value of the Location field.
func followRedirects(
	addr, path string, call func(addr, path string) (status int, text, location string),
) (status int, text string) {
	for redirects := 0; ; redirects++ {
		status, text, location := call(addr, path)
		target, err := url.Parse(location)
		if status != http.StatusTemporaryRedirect || redirects == maxRedirects || err != nil {
			return status, text
		}
		addr, path = target.Host, target.RequestURI()
	}
}
