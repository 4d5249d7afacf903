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

// putChange returns a PUT that replaces version base, 0 for none, by a configuration
// with the given version and one route for host.
func putChange(version, base uint64, host string) operatorRequest {
	baseText := formatVersion(base)
	if base == 0 {
		baseText = "0"
	}
	return operatorRequest{"PUT", configPath, baseText, configJSON(formatVersion(version), host)}
}

// patchChange returns a PATCH of version base that adds or replaces a route for host.
// The version determines which of seven routes it is.
func patchChange(version, base uint64, host string) operatorRequest {
	return operatorRequest{"PATCH", configPath, formatVersion(base), `{"stamp":"` + formatVersion(version) + `","upserts":{"resourceList":[{"variant":"bindingList","metadata":{"name":"p` +
		fmt.Sprint(version%7) + `"},"specification":{"hostname":"` + host + `","pathPrefix":"/p` + fmt.Sprint(version%7) + `/","bindingKind":"pure","serviceName":"s"}}]}}`}
}

// changeSequence returns n changes, some PUT and some PATCH. Each is based on the
// version of the one before it, and the versions increase by 1 to 3.
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

// expectCode sends each change until it gets a definite response and checks the
// response's status code.
func (c *cluster) expectCode(changes []operatorRequest, code int, when string) {
	c.t.Helper()
	for i, change := range changes {
		got, body := c.sendUntilDecided(i, change)
		qt.Assert(c.t, got, qt.Equals, code, qt.Commentf("change %d %s: %s", i, when, body))
	}
}

// An accepted change that is sent again must be reported as accepted, also after many
// later changes and after a restart. A request that differs only in its body is another
// change and must be rejected. The record of accepted changes must stay small on disk.
func TestAcceptedChangesAreRecognizedWhenRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newCluster(t, 1)
		changes := changeSequence(1000)
		core.expectCode(changes, 200, "at first")
		core.expectCode(changes, 200, "at the end")
		size := totalSize(core.members[0].disk.readAll())
		qt.Assert(t, size < 400<<10, qt.IsTrue, qt.Commentf("%d bytes on disk", size))
		core.close()
		core = newCluster(t, 1, core.members[0].disk)
		defer core.close()
		core.expectCode(changes, 200, "after a restart")
		for _, change := range changes[len(changes)-20:] {
			change.body += " "
			code, body := core.sendUntilDecided(0, change)
			qt.Assert(t, code, qt.Equals, 412, qt.Commentf("same base version, different body: %s", body))
		}
	})
}

// Of two changes with the same version, the one that is sent after the other has been
// accepted must be rejected, and the accepted one must be recognized when it is sent
// again, whatever happens to the shard's owner in between.
func TestOnlyOneOfTwoConflictingChangesIsAcceptedDespiteFaults(t *testing.T) {
	for name, inject := range map[string]func(*cluster, *member){
		"no fault": func(*cluster, *member) {},
		"the owner is killed and another member takes over": func(core *cluster, m *member) {
			m.kill()
			core.waitForOwner()
			m.start(false)
		},
		"the owner is disconnected for a while": func(core *cluster, m *member) {
			core.setDisconnected(m.addr, true)
			core.waitForOwner()
			core.setDisconnected(m.addr, false)
		},
		"the owner loses its disk and the next owner is killed": func(core *cluster, m *member) {
			m.kill()
			m.disk = &memoryDisk{}
			m.start(false)
			nextOwner := core.waitForOwner()
			time.Sleep(6 * time.Second)
			nextOwner.kill()
			core.waitForOwner()
			nextOwner.start(false)
		},
		"all members restart": func(core *cluster, _ *member) {
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
			core.expectCode(changes, 200, "at first")
			base, _ := routeconfig.ParseVersion(core.currentVersion())
			for i, pair := range []struct{ first, second operatorRequest }{
				{putChange(base+5, base, "one"), putChange(base+5, base, "two")},
				{patchChange(base+9, base+5, "one"), patchChange(base+9, base+5, "two")},
				{patchChange(base+12, base+9, "one"), putChange(base+12, base+9, "two")},
				{patchChange(base+15, base+12, "same"), patchChange(base+15, base+9, "same")},
			} {
				comment := qt.Commentf("%s, pair %d", name, i)
				code, _ := core.sendUntilDecided(i, pair.first)
				qt.Assert(t, code, qt.Equals, 200, comment)
				inject(core, core.waitForOwner())
				code, _ = core.sendUntilDecided(i+1, pair.second)
				qt.Assert(t, code, qt.Equals, 412, comment)
				code, _ = core.sendUntilDecided(i+2, pair.first)
				qt.Assert(t, code, qt.Equals, 200, comment)
			}
			for i := range core.members {
				core.expectCode(changes, 200, fmt.Sprint(name, ", member ", i))
			}
		})
	}
}

// Copies of one change that are processed concurrently must all get the same status: 200
// if the change can be committed. While the disk is blocked it must be 500 (outcome
// unknown), not 503 (nothing was done).
func TestConcurrentCopiesOfOneChangeGetTheSameStatus(t *testing.T) {
	for _, row := range []struct {
		diskBlocked bool
		code        int
	}{{false, 200}, {true, 500}} {
		synctest.Test(t, func(t *testing.T) {
			core := newCluster(t, 1)
			defer core.close()
			core.expectCode(changeSequence(1), 200, "at first")
			if row.diskBlocked {
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

// currentVersion returns the version of the current configuration in text form.
func (c *cluster) currentVersion() string {
	_, body := c.sendUntilDecided(0, operatorRequest{method: "GET", path: configPath})
	config, err := routeconfig.Parse([]byte(body))
	qt.Assert(c.t, err, qt.IsNil)
	return formatVersion(config.Version)
}

// While the disk is blocked, a change is decided but not committed. All copies of the
// request must get 500 (outcome unknown), and a conflicting request 503 (nothing was
// done). Once the disk works again, the first change must succeed and the other fail.
func TestUncommittedChangeIsNotReportedAsDone(t *testing.T) {
	for name, row := range map[string]struct {
		setup, change, conflicting operatorRequest
	}{
		"PUT of the configuration":   {putChange(1, 0, "h"), putChange(5, 1, "i"), putChange(5, 1, "j")},
		"PATCH of the configuration": {putChange(1, 0, "h"), patchChange(5, 1, "i"), patchChange(5, 1, "j")},
		"PUT of a cell":              {operatorRequest{"PUT", "/-/cells/g.a", "", `{"payload":"u"}`}, operatorRequest{"PUT", "/-/cells/g.a", "", `{"payload":"v","topic":1}`}, operatorRequest{"PUT", "/-/cells/g.a", "", `{"payload":"w","topic":1}`}},
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
				qt.Check(t, code, qt.Equals, 500, qt.Commentf("%s, request %d", name, i))
			}
			code, _ = core.sendOnce("m0", row.conflicting)
			qt.Check(t, code, qt.Equals, 503, qt.Commentf("%s: conflicting request", name))
			unblock()
			code, _ = core.sendUntilDecided(0, row.change)
			qt.Check(t, code, qt.Equals, 200, qt.Commentf("%s, after the commit", name))
			code, _ = core.sendUntilDecided(0, row.conflicting)
			qt.Check(t, code == 409 || code == 412, qt.IsTrue, qt.Commentf("%s: conflicting request after the commit: %d", name, code))
		})
	}
}

// Checking a change takes a multiple of its size in memory. Large changes must be checked
// one at a time, and a change must be rejected, before its body is read, if the pending
// bodies would exceed their limit. Small, repeated and outdated changes must not wait for
// a large one.
func TestLargeChangesAreCheckedOneAtATimeWithinTheMemoryLimit(t *testing.T) {
	pad := func(change operatorRequest, n int) operatorRequest {
		change.body += strings.Repeat(" ", n)
		return change
	}
	synctest.Test(t, func(t *testing.T) {
		core := newCluster(t, 1)
		defer core.close()
		server := core.members[0].server
		core.expectCode(changeSequence(1), 200, "at first")
		for _, row := range []struct {
			name     string
			bulkBusy bool
			pending  int64
			change   operatorRequest
			code     int
		}{
			{"large, while another large one is checked", true, 0, pad(putChange(5, 1, "a"), largeBodyBytes), 503},
			{"small, while a large one is checked", true, 0, putChange(5, 1, "b"), 200},
			{"already accepted, while a large one is checked", true, 0, putChange(5, 1, "b"), 200},
			{"outdated, while a large one is checked", true, 0, pad(putChange(7, 1, "c"), largeBodyBytes), 412},
			{"pending bodies at the limit", false, maxPendingBodyBytes - 10, putChange(9, 5, "d"), 503},
			{"too large", false, 0, pad(putChange(9, 5, "e"), maxConfigBytes), 413},
			{"large", false, 0, pad(putChange(9, 5, "f"), largeBodyBytes), 200},
			{"large and already accepted, while another is checked", true, 0, pad(putChange(9, 5, "f"), largeBodyBytes), 200},
		} {
			if row.bulkBusy {
				server.bodies.largeBodySem <- struct{}{}
			}
			server.bodies.pending.Add(row.pending)
			code, _ := core.sendOnce("m0", row.change)
			qt.Check(t, code, qt.Equals, row.code, qt.Commentf("%s", row.name))
			server.bodies.pending.Add(-row.pending)
			if row.bulkBusy {
				<-server.bodies.largeBodySem
			}
			qt.Check(t, server.bodies.pending.Load(), qt.Equals, int64(0), qt.Commentf("%s", row.name))
			qt.Check(t, len(server.bodies.largeBodySem), qt.Equals, 0, qt.Commentf("%s", row.name))
		}
		qt.Assert(t, core.currentVersion(), qt.Equals, "r9")
	})
}

// A connection that is lost while the body is sent ends the body early. The response must
// be 503, which callers retry, and not 400.
func TestIncompleteBodyIsNotReportedAsMalformed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newCluster(t, 1)
		defer core.close()
		core.expectCode(changeSequence(1), 200, "at first")
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

// legacyDisk returns a disk with the content that a release before the previous one
// writes for these changes: the record of accepted changes is part of the
// configuration's blob and holds the newest 256. The last four changes are log entries
// that follow a snapshot.
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
			patch, _ := routeconfig.ParsePatch([]byte(change.body))
			config, _ = config.Apply(patch)
		}
		legacy.Accepted = append(legacy.Accepted, &meshpb.AcceptedChange{Version: config.Version, Digest: legacyDigest(change)})
		legacy.Accepted = legacy.Accepted[max(0, len(legacy.Accepted)-256):]
		stored, _ := proto.Marshal(&meshpb.Config{Version: config.Version, Packed: rpc.Compress(config.Marshal())})
		legacyData, _ := proto.Marshal(legacy)
		blob := &meshpb.Blob{Name: "configuration", Data: append(stored, legacyData...), Version: config.Version}
		if i == len(changes)-5 {
			appendRecord(&meshpb.Record{State: &meshpb.ShardState{Epoch: 1, Version: uint64(i), Blobs: []*meshpb.Blob{blob}}})
		} else if i > len(changes)-5 {
			appendRecord(&meshpb.Record{Entry: &meshpb.Entry{Epoch: 1, Version: uint64(i), Change: &meshpb.Change{Blob: blob}}})
		}
	}
	return disk
}

// After an upgrade from a release that recorded 256 accepted changes, those must still be
// recognized. Older changes must get 500 (outcome unknown), because they may have been
// accepted and dropped from the record.
func TestChangesAcceptedByAnEarlierReleaseAreRecognized(t *testing.T) {
	for _, n := range []int{8, 300} {
		synctest.Test(t, func(t *testing.T) {
			changes := changeSequence(n)
			disk := legacyDisk(changes)
			core := newCluster(t, 1, disk)
			base, _ := routeconfig.ParseVersion(core.currentVersion())
			known := changes[max(0, n-4-256):]
			core.expectCode(known, 200, "after the upgrade")
			for _, change := range changes[:n-len(known)] {
				code, _ := core.sendOnce("m0", change)
				qt.Assert(t, code, qt.Equals, 500, qt.Commentf("dropped from the record, so the outcome is unknown: %s", change.body))
			}
			next := []operatorRequest{putChange(base+1, base, "x"), patchChange(base+4, base+1, "y"), putChange(base+5, base+4, "z")}
			core.expectCode(next, 200, "after the upgrade")
			core.close()
			core = newCluster(t, 1, disk)
			defer core.close()
			core.expectCode(append(next, known...), 200, "after a restart")
			code, _ := core.sendUntilDecided(0, putChange(base+2, base, "outdated"))
			qt.Assert(t, code, qt.Equals, 412)
		})
	}
}

// If the stored configuration cannot be decoded, a GET and a PATCH must get 500 (outcome
// unknown) and not a 4xx, which would mean that the request was rejected. A PUT must
// still be able to replace the configuration.
func TestUnreadableStoredConfigIsReportedAsUnknownOutcome(t *testing.T) {
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

// legacyDigest returns the digest that a release before the previous one recorded
// for a change. It has 32 bytes, of which the current release compares the first 16.
func legacyDigest(change operatorRequest) []byte {
	digest := newConfigChange(change.method, 0, []byte(change.body)).legacyDigest
	return append(digest[:coordination.DigestSize:coordination.DigestSize], make([]byte, 16)...)
}
