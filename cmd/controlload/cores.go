package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

const (
	// maxSeeds is how many cores are named to the others and to nodes.
	maxSeeds = 3
	// coreZones is over how many zones cores are spread.
	coreZones = 4
)

// startCores starts n core processes, which form one core.
func (m *loadMesh) startCores(binary, directory string, n int) error {
	var controlSeeds []string
	for i := range min(n, maxSeeds) {
		controlSeeds = append(controlSeeds, address(coreIP(i), controlPort))
		m.seeds = append(m.seeds, address(coreIP(i), internalPort))
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
	// The process has its own copy of the file.
	defer func() { _ = output.Close() }()
	core := exec.Command(binary, "core", "--settings", settingsFile)
	core.Stdout, core.Stderr = output, output
	if err := core.Start(); err != nil {
		return nil, err
	}
	return core, nil
}

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

func coreSettings(i int, dataDirectory string, controlSeeds []string) []byte {
	ip := coreIP(i)
	return fmt.Appendf(nil, coreSettingsFormat, i, ip, i%coreZones, dataDirectory, internalPort, internalPort+1,
		strings.Join(controlSeeds, `", "`), address(ip, controlPort))
}
