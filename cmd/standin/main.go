// Standin is an application endpoint to try corkcove with: it sends beats to
// the node beside it, works on requests for a while, and seals its answers.
package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	addr := kingpin.Flag("addr", "Where to listen: the sidecar's appAddr.").Required().String()
	control := kingpin.Flag("control", "The sidecar's controlAddr.").Required().String()
	service := kingpin.Flag("service", "Service name.").Required().String()
	site := kingpin.Flag("site", "Site name.").Default("one").String()
	slots := kingpin.Flag("slots", "Requests worked on at once.").Default("8").Int()
	work := kingpin.Flag("work", "Time a request takes.").Default("20ms").Duration()
	beat := kingpin.Flag("beat", "Time between beats.").Default("1s").Duration()
	kingpin.Parse()

	var b [4]byte
	rand.Read(b[:])
	id := "i-" + hex.EncodeToString(b[:])
	var draining atomic.Bool
	room := make(chan bool, *slots)
	http.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Instance-Id", id)
		if r.URL.Path == "/health" {
			if draining.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		if x := r.Header.Get("X-Expect-Instance"); x != "" && x != id {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		room <- true
		defer func() { <-room }()
		n, _ := io.Copy(io.Discard, r.Body)
		time.Sleep(*work)
		w.Header().Set("X-Server-Seal", id)
		fmt.Fprintf(w, "%s answered for %s, %d bytes came\n", id, r.Header.Get("X-Caller-Service"), n)
	})
	go func() {
		if err := http.ListenAndServe(*addr, nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}()
	seq := 0
	say := func(method, state string) {
		seq++
		x, _ := json.Marshal(map[string]any{"serviceName": *service, "address": *addr, "siteName": *site, "stamp": "v1", "slotCount": *slots,
			"state": state, "coldLeftS": 0, "callSeq": seq})
		q, _ := http.NewRequest(method, "http://"+*control+"/-/endpoints/"+id, bytes.NewReader(x))
		hc := &http.Client{Timeout: time.Second}
		if p, err := hc.Do(q); err == nil {
			p.Body.Close()
		}
	}
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	t := time.NewTicker(*beat)
	say("PUT", "ready")
	for {
		select {
		case <-t.C:
			say("PUT", "ready")
		case <-end:
			draining.Store(true)
			say("PUT", "draining")
			time.Sleep(2 * time.Second)
			say("DELETE", "draining")
			return
		}
	}
}
