// Standin is what corkcove meets outside, to try it with: an application
// endpoint, which sends beats to the node beside it, works on requests for a
// while and seals its answers; or a platform that lists such endpoints.
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
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("fakeendpoint", "Stand-ins for what corkcove meets outside.")
	ep := app.Command("endpoint", "An application endpoint.").Default()
	addr := ep.Flag("addr", "Where to listen: the sidecar's appAddr.").Required().String()
	control := ep.Flag("control", "The sidecar's controlAddr; none in a gateway.").String()
	service := ep.Flag("service", "Service name.").Required().String()
	zone := ep.Flag("site", "Site name.").Default("one").String()
	slots := ep.Flag("slots", "Requests worked on at once.").Default("8").Int()
	work := ep.Flag("work", "Time a request takes.").Default("20ms").Duration()
	beat := ep.Flag("beat", "Time between beats.").Default("1s").Duration()
	pl := app.Command("platform", "A platform that lists endpoints.")
	plAddr := pl.Flag("addr", "Where to listen: cloudApi.address.").Required().String()
	plEnds := pl.Flag("endpoint", "service,site,address of an endpoint; may be repeated.").Required().Strings()
	plPage := pl.Flag("page", "Rows on a page.").Default("50").Int()
	if kingpin.MustParse(app.Parse(os.Args[1:])) == pl.FullCommand() {
		platform(*plAddr, *plEnds, *plPage)
		return
	}

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
		if *control == "" {
			return
		}
		seq++
		x, _ := json.Marshal(map[string]any{"serviceName": *service, "address": *addr, "siteName": *zone, "stamp": "v1", "slotCount": *slots,
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

type rows struct {
	ColumnNames []string `json:"columnNames"`
	RowList     [][]any  `json:"rowList"`
}

type list struct {
	InstanceList rows    `json:"instanceList"`
	NextToken    *string `json:"nextToken"`
}

// platform lists the endpoints that answer, under the ids that they tell.
func platform(addr string, ends []string, page int) {
	hc := &http.Client{Timeout: 300 * time.Millisecond}
	http.HandleFunc("GET /endpoints", func(w http.ResponseWriter, r *http.Request) {
		out := list{InstanceList: rows{ColumnNames: []string{"id", "serviceName", "siteName", "address", "stamp", "slotCount", "state", "coldLeftS"}, RowList: [][]any{}}}
		from, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
		for i := from; i < len(ends) && i < from+page; i++ {
			f := strings.Split(ends[i], ",")
			if len(f) != 3 {
				continue
			}
			p, err := hc.Get("http://" + f[2] + "/health")
			if err != nil {
				continue
			}
			p.Body.Close()
			state := "ready"
			if p.StatusCode != http.StatusOK {
				state = "draining"
			}
			out.InstanceList.RowList = append(out.InstanceList.RowList, []any{p.Header.Get("X-Instance-Id"), f[0], f[1], f[2], "v1", 8, state, 0})
		}
		if from+page < len(ends) {
			t := strconv.Itoa(from + page)
			out.NextToken = &t
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(out)
	})
	if err := http.ListenAndServe(addr, nil); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
