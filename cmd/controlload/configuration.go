package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// putTimeout bounds the tries to have a configuration accepted.
	putTimeout       = 20 * time.Second
	putRetryInterval = 100 * time.Millisecond

	// routeTimeoutSeconds is the timeout of all routes but the one that a version
	// changes, and changedTimeoutSeconds that one's.
	routeTimeoutSeconds   = 3.0
	changedTimeoutSeconds = 2.0
	// hostnames is over how many hosts routes are spread.
	hostnames = 20
)

// configuration returns a configuration in which one route, another one in each
// version, has the timeout.
func configuration(version, routes, services int, timeoutSeconds float64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"stamp":"r%d","resourceList":[`, version)
	for i := range routes {
		timeout := routeTimeoutSeconds
		if i == version%routes {
			timeout = timeoutSeconds
		}
		fmt.Fprintf(&b, `{"variant":"bindingList","metadata":{"name":"r-%d"},"specification":{"hostname":"h%d.example","pathPrefix":"/p%d/","bindingKind":"pure","timeoutS":%g,"targetS":0.5,"rank":2,"serviceName":"service-%d","maxAttempts":2}},`,
			i, i%hostnames, i, timeout, i%services)
	}
	for i := range services {
		fmt.Fprintf(&b, `{"variant":"serviceList","metadata":{"name":"service-%d"},"specification":{"soundnessPath":"/health","maxConns":130,"protocol":"h1","tlsMode":false}},`, i)
	}
	b.WriteString(`{"variant":"limitSet","metadata":{},"specification":{"headerBytes":16384,"maxBodyBytes":67108864,"headerS":3,"idleTimeoutS":15}}]}`)
	return b.Bytes()
}

// putConfiguration sends a configuration, which follows the version base, to one
// core after the other until one accepts it.
func (m *loadMesh) putConfiguration(base, version int, body []byte) error {
	deadline := time.Now().Add(putTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		accepted, err := putOnce(coreIP(i%len(m.cores)), base, body)
		if err != nil {
			return err
		}
		if accepted {
			return nil
		}
		time.Sleep(putRetryInterval)
	}
	return fmt.Errorf("configuration r%d was not acknowledged within %v", version, putTimeout)
}

// putOnce returns an error only if there can't be such a request.
func putOnce(ip string, base int, body []byte) (accepted bool, err error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+address(ip, controlPort)+"/-/configuration", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	expected := "0"
	if base > 0 {
		expected = "r" + strconv.Itoa(base)
	}
	request.Header.Set("If-Match", expected)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// A core that is not there yet is tried again.
		return false, nil
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK, nil
}
