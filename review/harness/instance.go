package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"knapweedwell/soak"
)

// Ports of an instance, as indexes of its addresses.
const (
	callerPort = iota
	peerPort
	operatorPort
	readinessPort
	directoryPort
	exchangePort
	portCount
)

// settingsText is what the platform makes of deploy/settings.ini on a small deployment.
const settingsText = `[Instance]
Name = %s
Region = %s
Zone = %s
Caller = %s
Peer = %s
Operator = %s
Platform = %s
Seeds = %s

[Routes]
Readiness = %s
Directory = %s
Exchange = %s
AddressLifetime = 1500ms
GracePeriod = 8s
RetryRatio = 0.2
RetryWindow = 10s
RetrySlack = 54
ChangeDeadline = 2500ms
LeavingDeadline = 2500ms
UpstreamHeartbeatMillis = 1200
MemoryMegabytes = 284
MaxDescriptors = 4100
Features = base,drain,config,cost,retry,recover,engine,stream,tenants,platform

[Zones]
nbo-a = nairobi
mba-a = mombasa
ksm-a = kisumu
`

var regions = map[string]string{"nbo-a": "nairobi", "mba-a": "mombasa", "ksm-a": "kisumu"}

// instance is one process of the router, with a proxy of its own before the store.
type instance struct {
	name      string
	zone      string
	addresses [portCount]string
	store     *soak.Proxy
	settings  string
	log       string
	cmd       *exec.Cmd
}

// newInstance reserves addresses for an instance.
func newInstance(dir, name, storeAddress string) (*instance, error) {
	zone := strings.TrimPrefix(name, "front-")
	i := &instance{name: name, zone: zone[:strings.LastIndex(zone, "-")]}
	i.settings, i.log = filepath.Join(dir, name+".ini"), filepath.Join(dir, name+".log")
	var err error
	if i.store, err = soak.NewProxy(storeAddress); err != nil {
		return nil, err
	}
	for p := range i.addresses {
		if i.addresses[p], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return i, nil
}

// Ports that are not given to outgoing connections.
const (
	firstPort = 20000
	portRange = 12000
)

// taken holds the ports that freeAddress has returned.
var taken sync.Map

// freeAddress returns a loopback address with a port that is free for TCP and UDP.
func freeAddress() (string, error) {
	for {
		port := firstPort + rand.IntN(portRange)
		if _, used := taken.LoadOrStore(port, true); used {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		return address, p.Close()
	}
}

// writeSettings writes the settings file.
func (i *instance) writeSettings(seeds []string) error {
	a := i.addresses
	text := fmt.Sprintf(settingsText, i.name, regions[i.zone], i.zone, a[callerPort], a[peerPort], a[operatorPort], i.store.Address(),
		strings.Join(seeds, ","), a[readinessPort], a[directoryPort], a[exchangePort])
	return os.WriteFile(i.settings, []byte(text), 0o600)
}

// start starts the process as the deploy file does.
func (i *instance) start(program string) error {
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	i.cmd = exec.Command(program)
	i.cmd.Env = []string{"KNAPWEEDWELL_SETTINGS=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	i.cmd.Stdout, i.cmd.Stderr = out, out
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return i.cmd.Start()
}

// kill ends the process without notice and waits for its end.
func (i *instance) kill() {
	if i.cmd == nil {
		return
	}
	_ = i.cmd.Process.Kill()
	_ = i.cmd.Wait()
	i.cmd = nil
}

// cutFromStore makes the store silent for this instance, or ends that.
func (i *instance) cutFromStore(cut bool) {
	i.store.Set(soak.ProxyFaults{CutIn: cut, CutOut: cut})
}

// ready reports whether the instance says that it is ready.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.addresses[readinessPort] + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
