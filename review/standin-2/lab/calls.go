package lab

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Call makes a call at a control node, on a connection of its own, and returns the status and the body of the answer.
func Call(limit time.Duration, method, url string, body any) (status int, text []byte, err error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err = io.ReadAll(response.Body)
	return response.StatusCode, text, err
}
