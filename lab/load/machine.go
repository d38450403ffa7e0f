package load

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Machine describes the load of the machine before and after a run, because other
// processes may share the machine.
type Machine struct {
	CPUs int `json:"cpus"`
	// LoadBefore and LoadAfter are the one-minute load averages.
	LoadBefore float64 `json:"load_before"`
	LoadAfter  float64 `json:"load_after"`
	// ToolCPUSeconds is the CPU time that this process used during the run,
	// ToolMaxMiB its peak resident memory.
	ToolCPUSeconds float64 `json:"tool_cpu_seconds"`
	ToolMaxMiB     float64 `json:"tool_max_mib"`
}

func newMachine() Machine {
	m := Machine{CPUs: runtime.NumCPU(), LoadBefore: loadAverage()}
	m.ToolCPUSeconds, _ = processUsage()
	return m
}

func (m *Machine) recordEnd() {
	m.LoadAfter = loadAverage()
	cpu, mib := processUsage()
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

func processUsage() (cpuSeconds, maxMiB float64) {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0, 0
	}
	cpu := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return cpu.Seconds(), float64(u.Maxrss) / 1024
}
