// Command controlload measures the control plane at sizes that one machine can't
// hold whole: real core processes on loopback addresses, and beside them many
// node agents in one process, each the real one with its own listener and a
// made endpoint, but with no traffic. It ends by itself.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"corkcove/internal/lifecycle"
	"corkcove/internal/nodeagent"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const (
	port     = 7600
	control  = 7700
	mostWait = 60 * time.Second
)

type load struct{ in, out atomic.Int64 }

// counted counts the bytes of all streams of a listener.
type counted struct {
	net.Listener
	l *load
}

type countedConn struct {
	net.Conn
	l *load
}

func (c counted) Accept() (net.Conn, error) {
	x, err := c.Listener.Accept()
	return countedConn{x, c.l}, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.out.Add(int64(n))
	return n, err
}

type hollow struct {
	ag   *nodeagent.Agent
	addr string
	srv  *http.Server
	stop context.CancelFunc
	conf atomic.Uint64
	view atomic.Uint64
	ep   atomic.Uint64
	ends atomic.Int64
	doc  routeconfig.Config
}

type bench struct {
	cores   []*exec.Cmd
	seeds   []string
	nodes   []*hollow
	load    load
	lines   *rpc.Clients
	t0      time.Time
	service int
}

func (b *bench) now() time.Duration { return time.Since(b.t0) }

func coreIP(i int) string { return fmt.Sprintf("127.0.9.%d", i+1) }

func nodeIP(i int) string { return fmt.Sprintf("127.%d.%d.%d", 16+i/60000, i/240%250, 1+i%240) }

func (b *bench) startCores(bin, dir string, n int) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", coreIP(i)+":"+strconv.Itoa(control)))
		b.seeds = append(b.seeds, coreIP(i)+":"+strconv.Itoa(port))
	}
	for i := range n {
		d := filepath.Join(dir, fmt.Sprint("core-", i))
		if err := os.MkdirAll(d, 0o755); err != nil {
			return err
		}
		f := filepath.Join(dir, fmt.Sprintf("core-%d.toml", i))
		s := fmt.Sprintf("[self]\nnodeName = \"core-%d\"\nip = %q\nsiteName = \"zone-%d\"\nfirstStart = true\ndataDir = %q\n[network]\ninnerPortRange = [%d, %d]\nseedList = [%s]\n[network.listenAddrs]\ncontrolAddr = \"%s:%d\"\n",
			i, coreIP(i), i%4, d, port, port+1, strings.Join(seeds, ", "), coreIP(i), control)
		if err := os.WriteFile(f, []byte(s), 0o644); err != nil {
			return err
		}
		c := exec.Command(bin, "core", "--settings", f)
		out, err := os.Create(filepath.Join(dir, fmt.Sprintf("core-%d.log", i)))
		if err != nil {
			return err
		}
		c.Stdout, c.Stderr = out, out
		if err := c.Start(); err != nil {
			return err
		}
		b.cores = append(b.cores, c)
	}
	return nil
}

func (b *bench) startNode(i int) error {
	h := &hollow{addr: nodeIP(i) + ":" + strconv.Itoa(port)}
	l, err := net.Listen("tcp", h.addr)
	if err != nil {
		return err
	}
	name := fmt.Sprint("node-", i)
	life := strconv.FormatUint(rand.Uint64(), 16)
	h.ag = &nodeagent.Agent{Clients: b.lines, Seeds: b.seeds, Incarnation: life, Name: name, RegisterAfter: 2400 * time.Millisecond, Now: b.now}
	h.ag.OnView = func(v *meshpb.View) {
		h.ep.Store(v.Epoch)
		h.ends.Store(int64(len(v.Endpoints)))
		h.view.Store(v.Version)
	}
	use := func(d routeconfig.Config) {
		routeconfig.Compile(d)
		h.doc = d
		h.conf.Store(d.Version)
	}
	h.ag.OnConfig = func(_ uint64, data []byte) error {
		d, err := routeconfig.Parse(data)
		if err == nil {
			use(d)
		}
		return err
	}
	h.ag.OnPatch = func(version uint64, ps [][]byte) error {
		d := h.doc
		for _, p := range ps {
			x, err := routeconfig.ParsePatch(p)
			if err != nil {
				return err
			}
			if d, err = d.Apply(x); err != nil {
				return err
			}
		}
		if d.Version != version {
			return fmt.Errorf("the patches lead to %d, not %d", d.Version, version)
		}
		use(d)
		return nil
	}
	zone := fmt.Sprint("zone-", i%8)
	h.ag.Start(&meshpb.NodeState{Name: name, Incarnation: life, Addr: h.addr, Inbound: h.addr, Zone: zone, Service: fmt.Sprint("service-", i%b.service), State: string(lifecycle.Up),
		Endpoint: &meshpb.Endpoint{Id: "i-" + life, Service: fmt.Sprint("service-", i%b.service), Addr: h.addr, Zone: zone, Slots: 8, State: string(lifecycle.Ready), Healthy: true, SoftwareVersion: "v1"}})
	mux := http.NewServeMux()
	rpc.Handle(mux, meshpb.NewNodeServer(h.ag))
	h.srv = &http.Server{Handler: mux, IdleTimeout: 3 * time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
	go h.srv.Serve(counted{l, &b.load})
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go h.ag.Run(ctx, 120*time.Millisecond)
	b.nodes = append(b.nodes, h)
	return nil
}

// ticks gives a process's processor time, from /proc.
func ticks(pid int) time.Duration {
	s, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(s[bytes.LastIndexByte(s, ')')+1:]))
	u, _ := strconv.ParseInt(f[11], 10, 64)
	k, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(u+k) * 10 * time.Millisecond
}

func rss(pid int) float64 {
	s, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	f := strings.Fields(string(s))
	if len(f) < 2 {
		return 0
	}
	n, _ := strconv.ParseInt(f[1], 10, 64)
	return float64(n) * float64(os.Getpagesize()) / (1 << 20)
}

// until waits for all nodes, and tells how long it took.
func (b *bench) until(f func(*hollow) bool) (time.Duration, int) {
	t0 := time.Now()
	for {
		left := 0
		for _, n := range b.nodes {
			if !f(n) {
				left++
			}
		}
		if left == 0 || time.Since(t0) > mostWait {
			return time.Since(t0), left
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (b *bench) config(version, routes, services int, timeout float64) []byte {
	var w bytes.Buffer
	fmt.Fprintf(&w, `{"stamp":"r%d","resourceList":[`, version)
	for i := range routes {
		t := 3.0
		if i == version%routes {
			t = timeout
		}
		fmt.Fprintf(&w, `{"variant":"bindingList","metadata":{"name":"r-%d"},"specification":{"hostname":"h%d.example","pathPrefix":"/p%d/","bindingKind":"pure","timeoutS":%g,"targetS":0.5,"rank":2,"serviceName":"service-%d","maxAttempts":2}},`, i, i%20, i, t, i%services)
	}
	for i := range services {
		fmt.Fprintf(&w, `{"variant":"serviceList","metadata":{"name":"service-%d"},"specification":{"soundnessPath":"/health","maxConns":130,"protocol":"h1","tlsMode":false}},`, i)
	}
	w.WriteString(`{"variant":"limitSet","metadata":{},"specification":{"headerBytes":16384,"maxBodyBytes":67108864,"headerS":3,"idleTimeoutS":15}}]}`)
	return w.Bytes()
}

func (b *bench) put(cores, base, version int, body []byte) error {
	end := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		q, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/-/configuration", coreIP(i%cores), control), bytes.NewReader(body))
		if err != nil {
			return err
		}
		q.Header.Set("If-Match", "r"+strconv.Itoa(base))
		if base == 0 {
			q.Header.Set("If-Match", "0")
		}
		p, err := http.DefaultClient.Do(q)
		if err == nil {
			p.Body.Close()
			if p.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration r%d was not acknowledged within 20 s", version)
}

type sheet struct {
	Nodes, Cores, Services, Routes int
	StartS                         float64
	Quiet                          use
	Config                         []float64 `json:"configEverywhereS"`
	ConfigUse                      use
	View                           []float64 `json:"viewEverywhereS"`
	Churn                          use
	ChurnPerS                      float64
	Restart                        float64 `json:"restartedTenthKnownEverywhereS"`
	Takeover                       float64 `json:"takeoverEverywhereS"`
	Missing                        int
}

// use is what a stretch of time cost: the master, the mean of the other cores,
// one node's share of the hollow process.
type use struct {
	Seconds                     float64
	MasterCore, OtherCore, Node float64
	MasterMB, OtherMB, NodeMB   float64
	NodeInKBs, NodeOutKBs       float64
}

func (b *bench) measure(master int, f func()) use {
	var before []time.Duration
	for _, c := range b.cores {
		before = append(before, ticks(c.Process.Pid))
	}
	own, in, out, t0 := ticks(os.Getpid()), b.load.in.Load(), b.load.out.Load(), time.Now()
	f()
	s := time.Since(t0).Seconds()
	n := float64(len(b.nodes))
	u := use{Seconds: s, Node: (ticks(os.Getpid()) - own).Seconds() / s / n, NodeMB: rss(os.Getpid()) / n, NodeInKBs: float64(b.load.in.Load()-in) / 1024 / s / n, NodeOutKBs: float64(b.load.out.Load()-out) / 1024 / s / n}
	k := 0.0
	for i, c := range b.cores {
		if c.ProcessState != nil {
			continue
		}
		x := (ticks(c.Process.Pid) - before[i]).Seconds() / s
		if i == master {
			u.MasterCore, u.MasterMB = x, rss(c.Process.Pid)
			continue
		}
		u.OtherCore += x
		u.OtherMB += rss(c.Process.Pid)
		k++
	}
	u.OtherCore /= max(k, 1)
	u.OtherMB /= max(k, 1)
	return u
}

func (b *bench) master() int {
	v := b.nodes[0].ag.View()
	for i := range b.cores {
		if v.GetMaster() == coreIP(i)+":"+strconv.Itoa(port) {
			return i
		}
	}
	return -1
}

func (b *bench) play(s *sheet, seconds int) error {
	t0 := time.Now()
	if err := b.put(s.Cores, 0, 1, b.config(1, s.Routes, s.Services, 3)); err != nil {
		return err
	}
	for i := range s.Nodes {
		if err := b.startNode(i); err != nil {
			return err
		}
	}
	_, left := b.until(func(h *hollow) bool { return h.conf.Load() == 1 && h.ends.Load() == int64(s.Nodes) })
	s.StartS, s.Missing = time.Since(t0).Seconds(), left
	if left > 0 {
		return fmt.Errorf("%d of %d nodes have not got the whole view and the configuration", left, s.Nodes)
	}
	m := b.master()
	if m < 0 {
		return fmt.Errorf("the master is not one of these cores")
	}
	time.Sleep(2 * time.Second)
	s.Quiet = b.measure(m, func() { time.Sleep(time.Duration(seconds) * time.Second) })
	var err error
	s.ConfigUse = b.measure(m, func() {
		for i := range 5 {
			if err = b.put(s.Cores, 1+i, 2+i, b.config(2+i, s.Routes, s.Services, 2)); err != nil {
				return
			}
			d, left := b.until(func(h *hollow) bool { return h.conf.Load() == uint64(2+i) })
			s.Config = append(s.Config, d.Seconds())
			s.Missing += left
			time.Sleep(200 * time.Millisecond)
		}
	})
	if err != nil {
		return err
	}
	state := func(h *hollow, st lifecycle.State) {
		h.ag.UpdateState(func(n *meshpb.NodeState) {
			n.Endpoint.State = string(st)
		})
	}
	for range 3 {
		was := b.nodes[0].view.Load()
		state(b.nodes[rand.IntN(len(b.nodes))], lifecycle.Draining)
		d, left := b.until(func(h *hollow) bool { return h.view.Load() > was })
		s.View = append(s.View, d.Seconds())
		s.Missing += left
		time.Sleep(500 * time.Millisecond)
	}
	s.ChurnPerS = 4
	s.Churn = b.measure(m, func() {
		for i := range 4 * seconds {
			st := lifecycle.Draining
			if i%2 == 1 {
				st = lifecycle.Ready
			}
			state(b.nodes[i/2%len(b.nodes)], st)
			time.Sleep(250 * time.Millisecond)
		}
	})
	tenth := max(s.Nodes/10, 1)
	lives := map[string]bool{}
	for i := range tenth {
		h := b.nodes[i]
		h.ag.UpdateState(func(n *meshpb.NodeState) {
			n.Endpoint.Id = "j-" + strconv.FormatUint(rand.Uint64(), 16)
			n.Endpoint.State = string(lifecycle.Ready)
			lives[n.Endpoint.Id] = true
		})
	}
	has := func(h *hollow) bool {
		k := 0
		for _, e := range h.ag.View().Endpoints {
			if lives[e.Id] {
				k++
			}
		}
		return k == len(lives)
	}
	d, left := b.until(has)
	s.Restart, s.Missing = d.Seconds(), s.Missing+left
	ep := b.nodes[0].ep.Load()
	b.cores[m].Process.Kill()
	b.cores[m].Wait()
	d, left = b.until(func(h *hollow) bool { return h.ep.Load() > ep })
	s.Takeover, s.Missing = d.Seconds(), s.Missing+left
	return nil
}

func (b *bench) close() {
	for _, n := range b.nodes {
		n.stop()
		n.srv.Close()
	}
	for _, c := range b.cores {
		if c.ProcessState == nil {
			c.Process.Signal(syscall.SIGKILL)
			c.Wait()
		}
	}
}

func main() {
	app := kingpin.New("controlload", "Measures the control plane with hollow nodes on loopback; one JSON object for each size.")
	bin := app.Flag("corkcove", "The program whose cores are started.").Default("target/corkcove").String()
	dir := app.Flag("dir", "Where cores keep their settings, logs and data; a fresh folder in it is used.").Default(os.TempDir()).String()
	cores := app.Flag("cores", "How many core processes (3 to 15).").Default("9").Int()
	nodes := app.Flag("nodes", "How many nodes (10 to 4000); may be repeated.").Default("250", "1000", "2000").Ints()
	services := app.Flag("services", "How many services.").Default("140").Int()
	routes := app.Flag("routes", "How many routes.").Default("300").Int()
	seconds := app.Flag("seconds", "How long a quiet stretch is (2 to 60).").Default("15").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *cores < 3 || *cores > 15 || *seconds < 2 || *seconds > 60 || *services < 1 || *routes < 1 || slices.Max(*nodes) > 4000 || slices.Min(*nodes) < 10 {
		fmt.Fprintln(os.Stderr, "controlload: a number is out of range; see --help")
		os.Exit(1)
	}
	var lim syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim) == nil {
		lim.Cur = lim.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lim)
	}
	bad := false
	for _, n := range *nodes {
		s := &sheet{Nodes: n, Cores: *cores, Services: *services, Routes: *routes}
		err := one(s, *bin, *dir, *seconds)
		if err != nil {
			bad = true
			fmt.Fprintf(os.Stderr, "controlload: %d nodes: %v\n", n, err)
		}
		b, _ := json.Marshal(s)
		fmt.Println(string(b))
		runtime.GC()
	}
	if bad {
		os.Exit(1)
	}
}

func one(s *sheet, bin, dir string, seconds int) error {
	d, err := os.MkdirTemp(dir, "controlload-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(d)
	b := &bench{lines: rpc.NewClients(&http.Client{Transport: rpc.Transport(time.Second, 5*time.Second, 90*time.Second, 4)}), t0: time.Now(), service: s.Services}
	var once sync.Once
	end := func() { once.Do(b.close) }
	defer end()
	if err := b.startCores(bin, d, s.Cores); err != nil {
		return err
	}
	return b.play(s, seconds)
}
