package platform

// The list of data nodes on the link between two processes of a coordinator. Discovery tells the coordinator,
// whichever of its processes hears it: a successor begins with the list of its predecessor, and each process
// passes on what discovery tells it, as another one's watch may be silent. Discovery's own word replaces
// what another process has said.

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"lapislever/balance"
)

const (
	listFormat     = 1       // of listUpdate; a process takes no other
	maxLinkedHosts = 1 << 14 // entries of a list from another process
)

// listMessage is a list on the link. The form of its body may change with its format, so that a process that
// knows another format takes the rest of the message all the same.
type listMessage struct {
	Format int             `json:"format"`
	Body   json.RawMessage `json:"body"`
}

// listUpdate is a full list, or the changes since a version.
type listUpdate struct {
	hostList
	Since     int64 `json:"since,omitempty"`     // the version that the changes follow; 0: a full list
	Confirmed bool  `json:"confirmed,omitempty"` // discovery itself has told it to a process that runs
	AgeMs     int64 `json:"age_ms,omitempty"`    // since discovery last told or confirmed it
}

// origin returns the origin of an update that was received now.
func (u *listUpdate) origin(source listSource) listOrigin {
	return listOrigin{source, u.Confirmed, time.Now().Add(-time.Duration(u.AgeMs) * time.Millisecond)}
}

// linkedList is a list that has come over a link.
type linkedList struct {
	from   *link
	update *listUpdate
}

// encode returns the update in the link's form.
func (u *listUpdate) encode() (*listMessage, error) {
	if len(u.Hosts) > maxLinkedHosts {
		return nil, fmt.Errorf("the list has %d entries, more than %d", len(u.Hosts), maxLinkedHosts)
	}
	body, err := json.Marshal(u)
	if err != nil {
		return nil, err
	}
	if len(body) > maxListBytes {
		return nil, fmt.Errorf("the list has %d bytes, more than %d", len(body), maxListBytes)
	}
	return &listMessage{Format: listFormat, Body: body}, nil
}

// decode returns the update that a message carries, or an error if it cannot be used.
func (m *listMessage) decode() (*listUpdate, error) {
	if m.Format != listFormat {
		return nil, fmt.Errorf("format %d is not known", m.Format)
	}
	if len(m.Body) > maxListBytes {
		return nil, fmt.Errorf("%d bytes, more than %d", len(m.Body), maxListBytes)
	}
	u := &listUpdate{}
	if err := json.Unmarshal(m.Body, u); err != nil {
		return nil, err
	}
	return u, u.check()
}

// check returns an error if the update cannot be a list.
func (u *listUpdate) check() error {
	if len(u.Hosts) > maxLinkedHosts {
		return fmt.Errorf("%d entries, more than %d", len(u.Hosts), maxLinkedHosts)
	}
	if u.Seq < 0 || u.Since < 0 || u.Complete && u.Since > 0 {
		return fmt.Errorf("version %d since %d is not possible", u.Seq, u.Since)
	}
	if u.AgeMs < 0 || u.AgeMs > math.MaxInt64/int64(time.Millisecond) {
		return fmt.Errorf("an age of %d ms is not possible", u.AgeMs)
	}
	if len(u.named()) < len(u.Hosts) {
		return errors.New("an entry has no name")
	}
	return nil
}

// followedBy returns the update with a later one applied.
func (u *listUpdate) followedBy(later *listUpdate) *listUpdate {
	if later.Complete {
		return later
	}
	changed := make(map[string]bool, len(later.Hosts))
	for _, h := range later.Hosts {
		changed[h.Host] = true
	}
	merged := *u
	merged.Hosts = slices.DeleteFunc(slices.Clone(u.Hosts), func(h host) bool { return changed[h.Host] })
	merged.Hosts = append(merged.Hosts, later.Hosts...)
	if later.Since <= u.Seq { // otherwise changes in between are missing
		merged.Seq = later.Seq
	}
	return &merged
}

// initialList is what a process begins with until discovery answers.
type initialList struct {
	list   *hostList // nil: none
	origin listOrigin
}

// initialList returns the newest list that is known without discovery, by the versions. The configuration's
// list is what the coordinator last had when the file was written, so that it should not be newer than what
// discovery has told the predecessor. Where its version says so all the same, the order of the two is in
// doubt, and a node is used only if both would use it.
func (c *Config) initialList(received *receivedSockets, log *slog.Logger) initialList {
	handed := received.handedList(log)
	newest := initialList{c.Known, listOrigin{source: fromConfig}}
	if handed == nil || !handed.Confirmed || !handed.hostList.atLeast(newest.list) {
		if saved, toldAt := c.savedList(time.Now(), log); saved.atLeast(newest.list) {
			newest = initialList{saved, listOrigin{source: fromState, toldAt: toldAt}}
		}
	}
	switch {
	case handed == nil:
	case handed.hostList.atLeast(newest.list):
		newest = initialList{&handed.hostList, listOrigin{source: fromPredecessor}}
		if handed.Confirmed {
			newest.origin = handed.origin(fromPredecessor)
		}
	case handed.Confirmed:
		log.Warn("the list of before the start has a higher version than the old process's", "version",
			newest.list.Seq, "source", newest.origin.source, "old_process", handed.Seq)
		newest.list = newest.list.usedByBoth(&handed.hostList)
	}
	return newest
}

// handedList returns the predecessor's list, or nil if there is none that can be used.
func (r *receivedSockets) handedList(log *slog.Logger) *listUpdate {
	if r == nil || r.hello.List == nil {
		return nil
	}
	handed, err := r.hello.List.decode()
	if err == nil && !handed.Complete {
		err = errors.New("it is not the full list")
	}
	if err != nil {
		log.Warn("upgrade: the old process's list cannot be used", "err", err)
		return nil
	}
	return handed
}

// restore begins with a list from before the start.
func (w *watcher) restore(initial initialList) {
	list := *initial.list
	list.Complete = true
	w.held.apply(&list, initial.origin)
	w.takeIn(&list, balance.Cached)
	w.log.Info("list of before the start", "version", initial.list.Seq, "entries", len(initial.list.Hosts),
		"source", initial.origin.source)
}

// handOverList returns the list for a successor, or nil where none is held.
func (w *watcher) handOverList() *listMessage {
	list, origin := w.held.full()
	if list == nil {
		return nil
	}
	update := &listUpdate{hostList: *list, Confirmed: origin.confirmed}
	if !origin.toldAt.IsZero() {
		update.AgeMs = max(0, time.Since(origin.toldAt).Milliseconds())
	}
	msg, err := update.encode()
	if err != nil {
		w.log.Error("upgrade: the list cannot be sent to the other process", "err", err)
		return nil
	}
	return msg
}

// passOn sends what discovery has told to the linked processes, and has it saved. since is the version held
// before.
func (w *watcher) passOn(list *hostList, since int64) {
	if list.Complete {
		since = 0
	}
	update := &listUpdate{hostList: *list, Since: since, Confirmed: true}
	update.Hosts = list.named()
	w.saver.note(update)
	w.forward(nil, update)
}

// receiveLinked queues a list from another process for the watcher.
func (w *watcher) receiveLinked(l linkedList) {
	select {
	case w.linked <- l:
	case <-w.stop:
	}
}

// applyLinked takes in what discovery has told another process, unless it is known here, and passes it on:
// there may be a third one.
func (w *watcher) applyLinked(l linkedList) {
	u := l.update
	version, origin, whole := w.held.state()
	if !u.Confirmed || u.Seq <= version && whole {
		return
	}
	mode := balance.Cached
	if !u.Complete {
		mode = balance.Local
	}
	w.linkedAt = time.Now()
	list := u.hostList
	if !u.Complete && u.Since > version { // changes in between are missing: discovery will be asked for them
		list.Seq = version
	} else {
		origin = u.origin(fromLink)
	}
	w.held.apply(&list, origin)
	w.takeIn(&list, mode)
	w.saver.note(&listUpdate{hostList: hostList{Complete: true}})
	w.log.Info("list taken in from the other process", "version", u.Seq, "whole", u.Complete, "entries",
		len(u.Hosts))
	w.forward(l.from, u)
}

// isOutdated reports whether an answer of discovery may be from before what another process has told here:
// its call was made before that, and it has an older version.
func (w *watcher) isOutdated(r watchResult) bool {
	return r.call.begun.Before(w.linkedAt) && r.list.Seq < w.held.currentVersion()
}

// sendList sends a list to the linked processes, but for the one that it came from.
func (u *upgrade) sendList(cause *link, update *listUpdate) {
	for _, l := range u.linksBut(cause) {
		l.send(linkMessage{update: update})
	}
}

// applyList queues the list that a message from a linked process carries, if any.
func (u *upgrade) applyList(from *link, msg linkMessage) {
	if msg.List == nil {
		return
	}
	update, err := msg.List.decode()
	if err != nil {
		u.k.log.Warn("upgrade: the other process's list cannot be used", "err", err)
		return
	}
	u.k.watcher.receiveLinked(linkedList{from, update})
}
