package load

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Machine tells the state of the machine, which other work may share.
type Machine struct {
	CPUs int `json:"cpus"`
	// LoadBefore and LoadAfter are the load averages of the last minute.
	LoadBefore float64 `json:"load_before"`
	LoadAfter  float64 `json:"load_after"`
	// ToolCPUSeconds is the CPU time of this tool, ToolMaxMiB its peak memory.
	ToolCPUSeconds float64 `json:"tool_cpu_seconds"`
	ToolMaxMiB     float64 `json:"tool_max_mib"`
}

func machineBefore() Machine {
	m := Machine{CPUs: runtime.NumCPU(), LoadBefore: loadAverage()}
	m.ToolCPUSeconds, _ = ownUsage()
	return m
}

func (m *Machine) after() {
	m.LoadAfter = loadAverage()
	cpu, mib := ownUsage()
	m.ToolCPUSeconds, m.ToolMaxMiB = cpu-m.ToolCPUSeconds, mib
}

func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	v, _ := strconv.ParseFloat(first, 64)
	return v
}

func ownUsage() (cpuSeconds, maxMiB float64) {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0, 0
	}
	cpu := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return cpu.Seconds(), float64(u.Maxrss) / 1024
}
