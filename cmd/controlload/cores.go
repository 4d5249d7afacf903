package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

const (
	// maxSeedCores is the maximum number of cores whose addresses the other cores
	// and the nodes get as seeds.
	maxSeedCores = 3
	// coreZoneCount is the number of zones among which the cores are distributed.
	coreZoneCount = 4
)

// startCores starts n core processes, which form one cluster. It returns the first
// error; processes that it started before stay in m.cores.
func (m *loadMesh) startCores(binary, directory string, n int) error {
	var controlSeeds []string
	for i := range min(n, maxSeedCores) {
		controlSeeds = append(controlSeeds, joinAddress(coreIP(i), controlPort))
		m.seeds = append(m.seeds, joinAddress(coreIP(i), internalPort))
	}
	for i := range n {
		core, err := startCore(binary, directory, i, controlSeeds)
		if err != nil {
			return err
		}
		m.cores = append(m.cores, core)
	}
	return nil
}

// startCore writes the settings file of core i and starts its process. The output goes
// to a log file in directory.
func startCore(binary, directory string, i int, controlSeeds []string) (*exec.Cmd, error) {
	dataDirectory := filepath.Join(directory, fmt.Sprint("core-", i))
	if err := os.MkdirAll(dataDirectory, 0o755); err != nil {
		return nil, err
	}
	settingsFile := filepath.Join(directory, fmt.Sprintf("core-%d.toml", i))
	if err := os.WriteFile(settingsFile, coreSettings(i, dataDirectory, controlSeeds), 0o644); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(directory, fmt.Sprintf("core-%d.log", i)))
	if err != nil {
		return nil, err
	}
	// The process has its own file descriptor for the log.
	defer func() { _ = output.Close() }()
	core := exec.Command(binary, "core", "--settings", settingsFile)
	core.Stdout, core.Stderr = output, output
	if err := core.Start(); err != nil {
		return nil, err
	}
	return core, nil
}

// coreSettingsFormat is the settings file of a core as a format string.
const coreSettingsFormat = `[self]
nodeName = "core-%d"
ip = %q
siteName = "zone-%d"
firstStart = true
dataDir = %q
[network]
innerPortRange = [%d, %d]
seedList = ["%s"]
[network.listenAddrs]
controlAddr = %q
`

// coreSettings returns the settings file of core i.
func coreSettings(i int, dataDirectory string, controlSeeds []string) []byte {
	ip := coreIP(i)
	return fmt.Appendf(nil, coreSettingsFormat, i, ip, i%coreZoneCount, dataDirectory, internalPort, internalPort+1,
		strings.Join(controlSeeds, `", "`), joinAddress(ip, controlPort))
}
