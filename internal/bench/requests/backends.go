package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// answerBytes is the size of an answer.
const answerBytes = 1024

func backendAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+i) }

// runBackends serves count backend servers, of which the first may be slow.
func runBackends(count int, work, slow time.Duration) {
	body := make([]byte, answerBytes)
	for i := range body {
		body[i] = 'a'
	}
	done := make(chan error)
	for i := range count {
		sleep := work
		if i == 0 && slow > 0 {
			sleep = slow
		}
		handler := func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if sleep > 0 {
				time.Sleep(sleep)
			}
			h := w.Header()
			h["Content-Type"] = []string{"application/octet-stream"}
			h["Content-Length"] = []string{strconv.Itoa(answerBytes)}
			_, _ = w.Write(body)
		}
		go func() { done <- http.ListenAndServe(backendAddress(i), http.HandlerFunc(handler)) }()
	}
	fail((<-done).Error())
}
