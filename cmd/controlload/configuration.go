package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// putTimeout bounds the attempts to have a configuration accepted.
	putTimeout       = 20 * time.Second
	putRetryInterval = 100 * time.Millisecond

	// Each version changes the timeout of one route to changedRouteTimeoutSeconds.
	// All other routes have defaultRouteTimeoutSeconds.
	defaultRouteTimeoutSeconds = 3.0
	changedRouteTimeoutSeconds = 2.0
	// hostnameCount is the number of hostnames among which the routes are distributed.
	hostnameCount = 20
)

// buildConfiguration returns a configuration as JSON. The version determines the one
// route that has the given timeout, so that consecutive versions change different
// routes.
func buildConfiguration(version, routes, services int, timeoutSeconds float64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"stamp":"r%d","resourceList":[`, version)
	for i := range routes {
		timeout := defaultRouteTimeoutSeconds
		if i == version%routes {
			timeout = timeoutSeconds
		}
		fmt.Fprintf(&b, `{"variant":"bindingList","metadata":{"name":"r-%d"},"specification":{"hostname":"h%d.example","pathPrefix":"/p%d/","bindingKind":"pure","timeoutS":%g,"targetS":0.5,"rank":2,"serviceName":"service-%d","maxAttempts":2}},`,
			i, i%hostnameCount, i, timeout, i%services)
	}
	for i := range services {
		fmt.Fprintf(&b, `{"variant":"serviceList","metadata":{"name":"service-%d"},"specification":{"soundnessPath":"/health","maxConns":130,"protocol":"h1","tlsMode":false}},`, i)
	}
	b.WriteString(`{"variant":"limitSet","metadata":{},"specification":{"headerBytes":16384,"maxBodyBytes":67108864,"headerS":3,"idleTimeoutS":15}}]}`)
	return b.Bytes()
}

// putConfiguration sends a configuration that replaces version base to one core after
// the other until one acknowledges it. It returns an error if none does within putTimeout.
func (m *loadMesh) putConfiguration(base, version int, body []byte) error {
	deadline := time.Now().Add(putTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		accepted, err := tryPutConfiguration(coreIP(i%len(m.cores)), base, body)
		if err != nil {
			return err
		}
		if accepted {
			return nil
		}
		time.Sleep(putRetryInterval)
	}
	return fmt.Errorf("no core acknowledged configuration r%d within %v", version, putTimeout)
}

// tryPutConfiguration sends the configuration to one core and reports whether the
// core accepted it. It returns an error only if the request cannot be created.
func tryPutConfiguration(ip string, base int, body []byte) (accepted bool, err error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+joinAddress(ip, controlPort)+"/-/configuration", bytes.NewReader(body))
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
		// The core may not be listening yet, so the caller tries again.
		return false, nil
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK, nil
}
