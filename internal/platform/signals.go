package platform

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals registers for the signals that a running coordinator handles. It is called before anything else,
// as SIGHUP would otherwise end the program.
func Signals() <-chan os.Signal {
	end, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	out := make(chan os.Signal)
	go orderSignals(end, reload, out)
	return out
}

// orderSignals passes signals on, an end before a reload. Each kind has a queue of its own: any number of
// reloads that arrive during a reload count as one, and never displace an end.
func orderSignals(end, reload <-chan os.Signal, out chan<- os.Signal) {
	for {
		select {
		case s := <-end:
			out <- s
			continue
		default:
		}
		select {
		case s := <-end:
			out <- s
		case s := <-reload:
			select {
			case out <- s:
			case s = <-end: // the reload has not been taken yet
				out <- s
			}
		}
	}
}
