package controlapi

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/coordination"
	"corkcove/internal/routeconfig"
	"corkcove/internal/rpc"
	"corkcove/internal/rpc/meshpb"
)

const configPath = "/-/configuration"

func formatVersion(n uint64) string { return routeconfig.FormatVersion(n) }

func putChange(version, base uint64, host string) operatorRequest {
	baseText := formatVersion(base)
	if base == 0 {
		baseText = "0"
	}
	return operatorRequest{"PUT", configPath, baseText, configJSON(formatVersion(version), host)}
}

func patchChange(version, base uint64, host string) operatorRequest {
	return operatorRequest{"PATCH", configPath, formatVersion(base), `{"stamp":"` + formatVersion(version) + `","upserts":{"resourceList":[{"variant":"bindingList","metadata":{"name":"p` +
		fmt.Sprint(version%7) + `"},"specification":{"hostname":"` + host + `","pathPrefix":"/p` + fmt.Sprint(version%7) + `/","bindingKind":"pure","serviceName":"s"}}]}}`}
}

// changeSequence is n changes, each to the version before, by uneven steps, PUT
// and PATCH.
func changeSequence(n int) []operatorRequest {
	var changes []operatorRequest
	var base uint64
	for i := range n {
		version := base + 1 + uint64(i%3)
		if i%3 == 1 {
			changes = append(changes, patchChange(version, base, fmt.Sprint("h", i)))
		} else {
			changes = append(changes, putChange(version, base, fmt.Sprint("h", i)))
		}
		base = version
	}
	return changes
}

func (c *cluster) expectAll(changes []operatorRequest, code int, when string) {
	c.t.Helper()
	for i, change := range changes {
		got, body := c.sendUntilDecided(i, change)
		qt.Assert(c.t, got, qt.Equals, code, qt.Commentf("change %d %s: %s", i, when, body))
	}
}

func TestAcceptedChangesAreRecognizedWhenRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newCluster(t, 1)
		changes := changeSequence(1000)
		core.expectAll(changes, 200, "at first")
		core.expectAll(changes, 200, "at the end")
		size := totalSize(core.members[0].disk.readAll())
		qt.Assert(t, size < 400<<10, qt.IsTrue, qt.Commentf("%d bytes on disk", size))
		core.close()
		core = newCluster(t, 1, core.members[0].disk)
		defer core.close()
		core.expectAll(changes, 200, "after a restart")
		for _, change := range changes[len(changes)-20:] {
			change.body += " "
			code, body := core.sendUntilDecided(0, change)
			qt.Assert(t, code, qt.Equals, 412, qt.Commentf("another body: %s", body))
		}
	})
}

func TestOneOfTwoChangesToOneVersionIsAcceptedDespiteFaults(t *testing.T) {
	for name, inject := range map[string]func(*cluster, *member){
		"nothing": func(*cluster, *member) {},
		"the owner is killed": func(core *cluster, m *member) {
			m.kill()
			core.waitForOwner()
			m.start(false)
		},
		"the owner is cut off": func(core *cluster, m *member) {
			core.setDisconnected(m.addr, true)
			core.waitForOwner()
			core.setDisconnected(m.addr, false)
		},
		"the owner loses its disk and the next one dies": func(core *cluster, m *member) {
			m.kill()
			m.disk = &memoryDisk{}
			m.start(false)
			next := core.waitForOwner()
			time.Sleep(6 * time.Second)
			next.kill()
			core.waitForOwner()
			next.start(false)
		},
		"all restart": func(core *cluster, _ *member) {
			core.close()
			for _, m := range core.members {
				m.start(false)
			}
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			core := newCluster(t, 3)
			defer core.close()
			changes := changeSequence(12)
			core.expectAll(changes, 200, "at first")
			base, _ := routeconfig.ParseVersion(core.currentVersion())
			for i, pair := range []struct{ one, two operatorRequest }{
				{putChange(base+5, base, "one"), putChange(base+5, base, "two")},
				{patchChange(base+9, base+5, "one"), patchChange(base+9, base+5, "two")},
				{patchChange(base+12, base+9, "one"), putChange(base+12, base+9, "two")},
				{patchChange(base+15, base+12, "same"), patchChange(base+15, base+9, "same")},
			} {
				comment := qt.Commentf("%s, pair %d", name, i)
				code, _ := core.sendUntilDecided(i, pair.one)
				qt.Assert(t, code, qt.Equals, 200, comment)
				inject(core, core.waitForOwner())
				code, _ = core.sendUntilDecided(i+1, pair.two)
				qt.Assert(t, code, qt.Equals, 412, comment)
				code, _ = core.sendUntilDecided(i+2, pair.one)
				qt.Assert(t, code, qt.Equals, 200, comment)
			}
			for i := range core.members {
				core.expectAll(changes, 200, fmt.Sprint(name, ", member ", i))
			}
		})
	}
}

func TestConcurrentSendingsOfOneChangeGetOneAnswer(t *testing.T) {
	for _, row := range []struct {
		stalled bool
		code    int
	}{{false, 200}, {true, 500}} {
		synctest.Test(t, func(t *testing.T) {
			core := newCluster(t, 1)
			defer core.close()
			core.expectAll(changeSequence(1), 200, "at first")
			if row.stalled {
				synctest.Wait()
				defer core.members[0].disk.blockWrites()()
			}
			var got, want [8]int
			var wg sync.WaitGroup
			for i := range got {
				want[i] = row.code
				wg.Go(func() { got[i], _ = core.sendOnce("m0", patchChange(5, 1, "i")) })
			}
			wg.Wait()
			qt.Assert(t, got, qt.Equals, want)
		})
	}
}

func (c *cluster) currentVersion() string {
	_, body := c.sendUntilDecided(0, operatorRequest{method: "GET", path: configPath})
	config, err := routeconfig.Parse([]byte(body))
	qt.Assert(c.t, err, qt.IsNil)
	return formatVersion(config.Version)
}

func TestUncommittedChangeIsNotReportedAsDone(t *testing.T) {
	for name, row := range map[string]struct {
		setup, change, conflicting operatorRequest
	}{
		"put of the configuration": {putChange(1, 0, "h"), putChange(5, 1, "i"), putChange(5, 1, "j")},
		"patch":                    {putChange(1, 0, "h"), patchChange(5, 1, "i"), patchChange(5, 1, "j")},
		"put of a cell":            {operatorRequest{"PUT", "/-/cells/g.a", "", `{"payload":"u"}`}, operatorRequest{"PUT", "/-/cells/g.a", "", `{"payload":"v","topic":1}`}, operatorRequest{"PUT", "/-/cells/g.a", "", `{"payload":"w","topic":1}`}},
		"release of a lock": {operatorRequest{"POST", "/-/locks/l", "", `{"holderId":"a","holdS":60}`}, operatorRequest{"DELETE", "/-/locks/l", "", `{"holderId":"a","fenceNo":1}`},
			operatorRequest{"PUT", "/-/locks/l", "", `{"holderId":"a","fenceNo":1,"holdS":9}`}},
	} {
		synctest.Test(t, func(t *testing.T) {
			core := newCluster(t, 1)
			defer core.close()
			code, _ := core.sendUntilDecided(0, row.setup)
			qt.Assert(t, code, qt.Equals, 200)
			synctest.Wait()
			unblock := core.members[0].disk.blockWrites()
			for i := range 3 {
				code, _ = core.sendOnce("m0", row.change)
				qt.Check(t, code, qt.Equals, 500, qt.Commentf("%s, sending %d", name, i))
			}
			code, _ = core.sendOnce("m0", row.conflicting)
			qt.Check(t, code, qt.Equals, 503, qt.Commentf("%s: nothing was done", name))
			unblock()
			code, _ = core.sendUntilDecided(0, row.change)
			qt.Check(t, code, qt.Equals, 200, qt.Commentf("%s, once it is committed", name))
			code, _ = core.sendUntilDecided(0, row.conflicting)
			qt.Check(t, code == 409 || code == 412, qt.IsTrue, qt.Commentf("%s: %d", name, code))
		})
	}
}

func TestLargeChangesAreCheckedOneByOneAndRefusedUnread(t *testing.T) {
	pad := func(change operatorRequest, n int) operatorRequest {
		change.body += strings.Repeat(" ", n)
		return change
	}
	synctest.Test(t, func(t *testing.T) {
		core := newCluster(t, 1)
		defer core.close()
		server := core.members[0].server
		core.expectAll(changeSequence(1), 200, "at first")
		for _, row := range []struct {
			name     string
			turnHeld bool
			pending  int64
			change   operatorRequest
			code     int
		}{
			{"large, while another is read", true, 0, pad(putChange(5, 1, "a"), largeBodyBytes), 503},
			{"small, while a large one is read", true, 0, putChange(5, 1, "b"), 200},
			{"known, while a large one is read", true, 0, putChange(5, 1, "b"), 200},
			{"late, while a large one is read", true, 0, pad(putChange(7, 1, "c"), largeBodyBytes), 412},
			{"with no room for bodies", false, maxPendingBodyBytes - 10, putChange(9, 5, "d"), 503},
			{"too large", false, 0, pad(putChange(9, 5, "e"), maxConfigBytes), 413},
			{"large", false, 0, pad(putChange(9, 5, "f"), largeBodyBytes), 200},
			{"large, known", true, 0, pad(putChange(9, 5, "f"), largeBodyBytes), 200},
		} {
			if row.turnHeld {
				server.bodies.largeBodySem <- struct{}{}
			}
			server.bodies.pending.Add(row.pending)
			code, _ := core.sendOnce("m0", row.change)
			qt.Check(t, code, qt.Equals, row.code, qt.Commentf("%s", row.name))
			server.bodies.pending.Add(-row.pending)
			if row.turnHeld {
				<-server.bodies.largeBodySem
			}
			qt.Check(t, server.bodies.pending.Load(), qt.Equals, int64(0), qt.Commentf("%s", row.name))
			qt.Check(t, len(server.bodies.largeBodySem), qt.Equals, 0, qt.Commentf("%s", row.name))
		}
		qt.Assert(t, core.currentVersion(), qt.Equals, "r9")
	})
}

func TestIncompleteBodyIsNotReportedAsMalformed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newCluster(t, 1)
		defer core.close()
		core.expectAll(changeSequence(1), 200, "at first")
		for _, change := range []operatorRequest{putChange(5, 1, "h"), patchChange(5, 1, "h"), {"PUT", "/-/cells/g.a", "", `{"payload":"v"}`}, {"POST", "/-/locks/l", "", `{"holderId":"a","holdS":3}`}} {
			httpRequest := httptest.NewRequest(change.method, change.path, io.MultiReader(strings.NewReader(change.body), iotest.ErrReader(io.ErrUnexpectedEOF)))
			httpRequest.Header.Set("If-Match", change.base)
			recorder := httptest.NewRecorder()
			core.members[0].server.ServeHTTP(recorder, httpRequest)
			qt.Check(t, recorder.Code, qt.Equals, 503, qt.Commentf("%s %s", change.method, change.path))
		}
		qt.Assert(t, core.currentVersion(), qt.Equals, "r1")
	})
}

// legacyDisk is a disk as an earlier release wrote it, with the record of
// accepted changes inside the configuration.
func legacyDisk(changes []operatorRequest) *memoryDisk {
	disk := &memoryDisk{}
	appendRecord := func(r *meshpb.Record) {
		record, _ := proto.Marshal(r)
		disk.records = append(disk.records, record)
	}
	appendRecord(&meshpb.Record{Identity: &meshpb.Identity{Id: "founder-m0"}})
	appendRecord(&meshpb.Record{Membership: &meshpb.Membership{Version: 1, Members: []*meshpb.Member{{Id: "founder-m0", Addr: "m0", Control: "m0"}}}})
	legacy := &meshpb.LegacyAcceptedChanges{}
	var config routeconfig.Config
	for i, change := range changes {
		if change.method == "PUT" {
			config, _ = routeconfig.Parse([]byte(change.body))
		} else {
			p, _ := routeconfig.ParsePatch([]byte(change.body))
			config, _ = config.Apply(p)
		}
		legacy.Accepted = append(legacy.Accepted, &meshpb.AcceptedChange{Version: config.Version, Digest: legacyDigest(change)})
		legacy.Accepted = legacy.Accepted[max(0, len(legacy.Accepted)-256):]
		stored, _ := proto.Marshal(&meshpb.Config{Version: config.Version, Packed: rpc.Pack(config.Marshal())})
		record, _ := proto.Marshal(legacy)
		blob := &meshpb.Blob{Name: "configuration", Data: append(stored, record...), Version: config.Version}
		if i == len(changes)-5 {
			appendRecord(&meshpb.Record{State: &meshpb.ShardState{Epoch: 1, Version: uint64(i), Blobs: []*meshpb.Blob{blob}}})
		} else if i > len(changes)-5 {
			appendRecord(&meshpb.Record{Entry: &meshpb.Entry{Epoch: 1, Version: uint64(i), Change: &meshpb.Change{Blob: blob}}})
		}
	}
	return disk
}

func TestChangesAcceptedByAnEarlierReleaseAreRecognized(t *testing.T) {
	for _, n := range []int{8, 300} {
		synctest.Test(t, func(t *testing.T) {
			changes := changeSequence(n)
			disk := legacyDisk(changes)
			core := newCluster(t, 1, disk)
			base, _ := routeconfig.ParseVersion(core.currentVersion())
			known := changes[max(0, n-4-256):]
			core.expectAll(known, 200, "after the upgrade")
			for _, change := range changes[:n-len(known)] {
				code, _ := core.sendOnce("m0", change)
				qt.Assert(t, code, qt.Equals, 500, qt.Commentf("forgotten, so unclear: %s", change.body))
			}
			next := []operatorRequest{putChange(base+1, base, "x"), patchChange(base+4, base+1, "y"), putChange(base+5, base+4, "z")}
			core.expectAll(next, 200, "after the upgrade")
			core.close()
			core = newCluster(t, 1, disk)
			defer core.close()
			core.expectAll(append(next, known...), 200, "after a restart")
			code, _ := core.sendUntilDecided(0, putChange(base+2, base, "late"))
			qt.Assert(t, code, qt.Equals, 412)
		})
	}
}

func TestUnreadableConfigurationIsNotReportedAsRefusal(t *testing.T) {
	for _, data := range [][]byte{{0xff}, {18, 1, 0xff}} {
		synctest.Test(t, func(t *testing.T) {
			disk := legacyDisk(changeSequence(8))
			record, _ := proto.Marshal(&meshpb.Record{Entry: &meshpb.Entry{Epoch: 1, Version: 8, Change: &meshpb.Change{Blob: &meshpb.Blob{Name: "configuration", Data: data, Version: 20}}}})
			disk.records = append(disk.records, record)
			core := newCluster(t, 1, disk)
			defer core.close()
			core.waitForOwner()
			for i, row := range []struct {
				request operatorRequest
				code    int
			}{
				{operatorRequest{method: "GET", path: configPath}, 500},
				{patchChange(21, 20, "h"), 500},
				{changeSequence(8)[7], 200},
				{putChange(21, 19, "h"), 412},
				{putChange(22, 20, "h"), 200},
				{patchChange(23, 22, "h"), 200},
			} {
				code, _ := core.sendOnce("m0", row.request)
				qt.Check(t, code, qt.Equals, row.code, qt.Commentf("request %d", i))
			}
		})
	}
}

func legacyDigest(change operatorRequest) []byte {
	digest := newConfigChange(change.method, 0, []byte(change.body)).legacyDigest
	return append(digest[:coordination.DigestSize:coordination.DigestSize], make([]byte, 16)...)
}
