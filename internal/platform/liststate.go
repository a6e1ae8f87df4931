package platform

// The list of data nodes on disk, for a process that starts where no other one serves, or where the one that
// serves cannot be asked. It is kept where the operators name a folder that outlasts a process. Writing must
// never make the watch or a request wait, and a file that cannot be used must not keep a process from
// starting.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lapislever/internal/snapshot"
)

const (
	maxSavedAge       = 7 * 24 * time.Hour // since discovery told the list; an older file is ignored
	saveRefresh       = time.Hour          // after which a file is written again though the list is the same
	saveRetry         = time.Second        // after a write that failed
	saveEnd           = minCloseTime       // that an ending process waits for a write
	maxPendingChanges = 64                 // that wait to be written; beyond them the full list is written
	minSavedChanges   = 64 << 10           // bytes of changes that are kept however short the full list is
	maxSavedBytes     = 3 * maxListBytes   // of a file that is read
)

// savedRecord is one record of the file: the full list, or changes.
type savedRecord struct {
	Name   string `json:"name"`    // of the coordinator
	ToldMs int64  `json:"told_ms"` // when discovery last told or confirmed the list, Unix time
	listUpdate
}

// addressPath returns the path of a file in a folder that belongs to the process serving an address, or
// nothing where there is no folder or no fixed address.
func addressPath(folder, listen, suffix string) string {
	if folder == "" || listen == "" || strings.HasSuffix(listen, ":0") {
		return ""
	}
	return filepath.Join(folder, "lapislever-"+strings.NewReplacer(":", "-", "/", "-").Replace(listen)+suffix)
}

func (c *Config) listPath() string { return addressPath(c.StateDir, c.Listen, ".list") }

// SavedList is the list of data nodes that a file holds.
type SavedList struct {
	Name    string    `json:"name"` // of the coordinator that saved it
	Version int64     `json:"version"`
	ToldAt  time.Time `json:"told_at"` // when discovery last told or confirmed it
	Whole   bool      `json:"whole"`   // nothing of the file had to be left out
	Nodes   []Host    `json:"nodes"`
}

// ReadSavedList reads the list that a file holds. The error tells why the file cannot be used: it is one of
// package snapshot, of reading, or names the record's fault.
func ReadSavedList(path string) (*SavedList, error) {
	texts, whole, err := snapshot.Read(path, maxSavedBytes)
	if err != nil {
		return nil, err
	}
	saved := &SavedList{Whole: whole}
	var held heldList
	for i, text := range texts {
		var r savedRecord
		if err := json.Unmarshal(text, &r); err != nil {
			return nil, err
		}
		if err := r.check(); err != nil {
			return nil, err
		}
		switch {
		case i == 0 && !r.Complete:
			return nil, errors.New("it does not begin with a full list")
		case i > 0 && r.Name != saved.Name:
			return nil, fmt.Errorf("it is of %q and of %q", saved.Name, r.Name)
		}
		saved.Name, saved.ToldAt = r.Name, time.UnixMilli(r.ToldMs)
		if i == 0 || r.Seq > held.version { // otherwise the full list has it
			held.apply(&r.hostList, listOrigin{})
		}
	}
	list, _ := held.full()
	saved.Version, saved.Nodes = list.Seq, list.Hosts
	return saved, nil
}

// UsableAt returns an error if a start at a time takes no list that was saved so long ago.
func (l *SavedList) UsableAt(now time.Time) error {
	if age := now.Sub(l.ToldAt); age > maxSavedAge {
		return fmt.Errorf("it is %v old", age.Round(time.Hour))
	}
	return nil
}

// savedList returns the list that an earlier process of this coordinator has saved, and when discovery last
// told or confirmed it. The list is nil if there is none that can be used.
func (c *Config) savedList(now time.Time, log *slog.Logger) (list *hostList, toldAt time.Time) {
	path := c.listPath()
	if path == "" {
		return nil, time.Time{}
	}
	saved, err := ReadSavedList(path)
	if err == nil {
		err = saved.UsableAt(now)
	}
	if err == nil && saved.Name != c.Name {
		err = fmt.Errorf("it is of %q", saved.Name)
	}
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, time.Time{}
	case err != nil:
		log.Warn("the saved list is ignored", "path", path, "err", err)
		return nil, time.Time{}
	}
	return &hostList{Seq: saved.Version, Complete: true, Hosts: saved.Nodes}, saved.ToldAt
}

// listSaver writes the list held to the file, on a goroutine of its own.
type listSaver struct {
	held *heldList
	name string
	log  *slog.Logger
	// owns reports whether this process writes the file. Of the processes of an upgrade the last one that serves
	// does.
	owns func() bool
	file *snapshot.File
	wake chan struct{} // something has changed
	done chan struct{} // closed once nothing is written any more

	mu      sync.Mutex // guards all below
	changes []listUpdate
	replace bool // the full list has to be written
}

// newListSaver returns the saver of a coordinator's list, or nil where no folder is named.
func newListSaver(cfg *Config, held *heldList, owns func() bool, log *slog.Logger) *listSaver {
	path := cfg.listPath()
	if path == "" {
		return nil
	}
	return &listSaver{held: held, name: cfg.Name, log: log, owns: owns, file: snapshot.New(path),
		wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// note queues what has changed in the list held. It does not block.
func (s *listSaver) note(u *listUpdate) {
	if s == nil {
		return
	}
	s.mu.Lock()
	s.replace = s.replace || u.Complete || u.Seq <= u.Since || len(s.changes) == maxPendingChanges
	if s.replace {
		s.changes = nil
	} else {
		s.changes = append(s.changes, *u)
	}
	s.mu.Unlock()
	s.wakeUp()
}

// wakeUp has the saver look whether there is something to write.
func (s *listSaver) wakeUp() {
	if s == nil {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// awaitEnd waits until nothing is written any more, for a bounded time.
func (s *listSaver) awaitEnd(limit time.Duration) {
	if s == nil {
		return
	}
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}

// run writes until stop is closed, and what has changed by then.
func (s *listSaver) run(stop <-chan struct{}) {
	defer close(s.done)
	defer s.file.Close()
	failing := false
	for {
		err := s.save()
		if err != nil && !failing {
			s.log.Warn("the list could not be saved", "err", err)
		}
		failing = err != nil
		wait := saveRefresh
		if failing {
			wait = saveRetry
		}
		timer := time.NewTimer(wait)
		select {
		case <-s.wake:
		case <-timer.C:
			s.mu.Lock()
			s.replace = true
			s.mu.Unlock()
		case <-stop:
			timer.Stop()
			_ = s.save()
			return
		}
		timer.Stop()
	}
}

// save writes what has changed.
func (s *listSaver) save() error {
	s.mu.Lock()
	changes, replace := s.changes, s.replace
	s.changes, s.replace = nil, false
	s.mu.Unlock()
	if !s.owns() {
		s.file.Close()
		return nil
	}
	if state, written := s.file.Sizes(); replace || !s.file.Open() || written > max(state, minSavedChanges) {
		return s.saveFull()
	}
	for i := range changes {
		if err := s.append(&changes[i]); err != nil {
			return err
		}
	}
	return nil
}

// saveFull writes the full list, once discovery has told it.
func (s *listSaver) saveFull() error {
	list, origin := s.held.full()
	if !origin.confirmed {
		return nil
	}
	text, err := s.encode(&listUpdate{hostList: *list})
	if err != nil {
		return err
	}
	return s.file.Replace(text)
}

func (s *listSaver) append(u *listUpdate) error {
	text, err := s.encode(u)
	if err != nil {
		return err
	}
	return s.file.Append(text)
}

func (s *listSaver) encode(u *listUpdate) ([]byte, error) {
	_, origin, _ := s.held.state()
	return json.Marshal(savedRecord{Name: s.name, ToldMs: origin.toldAt.UnixMilli(), listUpdate: *u})
}
