package platform

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals takes the signals that a running coordinator obeys, before anything else is done: SIGHUP
// would else end the program.
func Signals() <-chan os.Signal {
	end, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	out := make(chan os.Signal)
	go order(end, reload, out)
	return out
}

// order passes signals on, an end before a reload. Each kind waits in a place of its own, so that however
// many reloads come while one is being done, they are one more, and take no end's place.
func order(end, reload <-chan os.Signal, out chan<- os.Signal) {
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
			case s = <-end: // nobody has taken the reload yet
				out <- s
			}
		}
	}
}
