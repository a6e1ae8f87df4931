package legacyfront

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"lapislever/internal/core"
	lnet "lapislever/internal/net"
	"lapislever/internal/standin"
)

// TestMain also serves as the nodes' process of BenchmarkPart, so that the nodes' work is not measured.
func TestMain(m *testing.M) {
	if os.Getenv("LAPISLEVER_NODES") == "" {
		os.Exit(m.Run())
	}
	var t standaloneTB
	a := standin.NewNode(&t, func(standin.Part) (string, string) { return "S", "5be2a07c19f04d63" })
	b := standin.NewGRPCNode(&t, standin.GRPCOptions{}, func(standin.GRPCCall) standin.GRPCReply {
		return standin.GRPCReply{Text: "5be2a07c19f04d63"}
	})
	fmt.Println(a.Addr, b.Addr)
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n') // until the benchmark ends
}

// standaloneTB is a testing.TB for use outside a test.
type standaloneTB struct{ testing.TB }

func (*standaloneTB) Helper()        {}
func (*standaloneTB) Cleanup(func()) {}
func (*standaloneTB) Fatal(x ...any) { panic(fmt.Sprint(x...)) }

// BenchmarkPart measures what a part costs this process, by the form of its server: an old-form request with
// eight parts passes through front, core, module and backend, and over loopback to nodes in another process.
func BenchmarkPart(b *testing.B) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "LAPISLEVER_NODES=1")
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = in.Close(); _ = cmd.Wait() }()
	line, _ := bufio.NewReader(out).ReadString('\n')
	oldAddr, newAddr, _ := strings.Cut(strings.TrimSpace(line), " ")
	const parts = 8
	for form, addr := range map[string]string{OldForm: oldAddr, NewForm: newAddr} {
		b.Run(form, func(b *testing.B) {
			text := "shards = 8\n" + listenersTOML + classesTOML + serverTOML("a", addr, form, 0) +
				"[settings.extra]\nplaces = 1\n[settings.bounds]\nmaxOpen = 1000\n"
			r := startFront(b, text)
			c, err := lnet.Dial(r.http, 5*time.Second, 1<<20)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			do := func(i int) {
				header, body := request(fmt.Sprint("b", i), "", 0, 1, 2, 3, 4, 5, 6, 7)
				reply, err := c.Do("POST", "/rate-check", "x", header, []byte(body), time.Now().Add(10*time.Second))
				if err != nil || reply.Status != 200 {
					b.Fatalf("%+v %v", reply, err)
				}
			}
			for i := range 50 {
				do(1_000_000 + i)
			}
			var before, after syscall.Rusage
			var memBefore, memAfter runtime.MemStats
			runtime.ReadMemStats(&memBefore)
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
			b.ResetTimer()
			for i := range b.N {
				do(i)
			}
			b.StopTimer()
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
			runtime.ReadMemStats(&memAfter)
			cpu := func(r syscall.Rusage) int64 { return r.Utime.Nano() + r.Stime.Nano() }
			n := float64(b.N * parts)
			b.ReportMetric(float64(cpu(after)-cpu(before))/n/1000, "cpu-us/part")
			b.ReportMetric(float64(memAfter.Mallocs-memBefore.Mallocs)/n, "allocs/part")
			b.ReportMetric(float64(memAfter.TotalAlloc-memBefore.TotalAlloc)/n, "B/part")
			if f := r.outcomeCount("rate-check", core.Failed); f > 0 {
				b.Errorf("%d failed", f)
			}
		})
	}
}
