// Package snapshot keeps the newest state of a process in a file, for the process that is started after it.
// The file holds a full state and the changes since, each as a record with a checksum. A process may be
// killed at any moment: a full state is written beside the file and renamed, and a change that was cut off is
// not read. The package does not know what a record says.
package snapshot

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	// magic begins the first line of a file; the version of its form follows.
	magic   = "lapislever-snapshot "
	version = 1

	// tempSuffix ends the name of a full state that is being written.
	tempSuffix = ".tmp"

	// maxHead bounds the line before a record, "CHECKSUM LENGTH\n".
	maxHead = 8 + 1 + 10 + 1
)

// Errors of Read. A file that does not exist is an fs.ErrNotExist.
var (
	// ErrVersion means that the file is of another version of this form.
	ErrVersion = errors.New("snapshot of another version")
	// ErrCorrupt means that the file has no full state that can be read.
	ErrCorrupt = errors.New("snapshot is corrupt")
	// ErrTooLarge means that the file, or a record, exceeds the limit.
	ErrTooLarge = errors.New("snapshot is too large")
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Read returns the records of a file of at most limit bytes: the full state, and the changes since. It stops
// before the first record that is incomplete or does not match its checksum, as what follows may build on
// it. whole tells that there is none.
func Read(path string, limit int64) (records [][]byte, whole bool, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, false, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, false, err
	}
	if int64(len(text)) > limit {
		return nil, false, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
	}
	return parse(text)
}

func parse(text []byte) (records [][]byte, whole bool, err error) {
	first, rest, ended := bytes.Cut(text, []byte("\n"))
	form, ok := bytes.CutPrefix(first, []byte(magic))
	if !ok || !ended {
		return nil, false, ErrCorrupt
	}
	if string(form) != strconv.Itoa(version) {
		return nil, false, fmt.Errorf("%w: %.20q", ErrVersion, form)
	}
	for len(rest) > 0 {
		record, after, ok := cutRecord(rest)
		if !ok {
			break
		}
		records, rest = append(records, record), after
	}
	if len(records) == 0 {
		return nil, false, ErrCorrupt
	}
	return records, len(rest) == 0, nil
}

// cutRecord returns the first record of a text, and what follows it.
func cutRecord(text []byte) (record, after []byte, ok bool) {
	end := bytes.IndexByte(text[:min(len(text), maxHead)], '\n')
	if end < 0 {
		return nil, nil, false
	}
	head, rest := text[:end], text[end+1:]
	var sum uint32
	var size int
	if n, err := fmt.Sscanf(string(head), "%08x %d", &sum, &size); n != 2 || err != nil {
		return nil, nil, false
	}
	if string(head) != recordHead(sum, size) || size < 0 || size >= len(rest) || rest[size] != '\n' {
		return nil, nil, false
	}
	record = rest[:size]
	return record, rest[size+1:], crc32.Checksum(record, checksums) == sum
}

func recordHead(sum uint32, size int) string { return fmt.Sprintf("%08x %d", sum, size) }

func encode(record []byte) []byte {
	text := []byte(recordHead(crc32.Checksum(record, checksums), len(record)) + "\n")
	return append(append(text, record...), '\n')
}

// File is a snapshot that this process writes. It is not safe for concurrent use.
type File struct {
	path     string
	appender *os.File // open for changes; nil: a full state has to be written first
	base     int64    // bytes of the full state
	changes  int64    // bytes of the changes since
}

// New returns the snapshot at a path. Nothing is written before Replace.
func New(path string) *File { return &File{path: path} }

// Replace writes a full state in place of all records. Until that is done the file stays as it is. After an
// error the next call must be Replace again.
func (f *File) Replace(state []byte) (err error) {
	f.Close()
	f.removeLeftovers()
	temp := fmt.Sprintf("%s.%d%s", f.path, os.Getpid(), tempSuffix)
	file, err := os.OpenFile(temp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = file.Close()
			_ = os.Remove(temp)
		}
	}()
	text := append(fmt.Appendf(nil, "%s%d\n", magic, version), encode(state)...)
	if _, err = file.Write(text); err != nil {
		return err
	}
	if err = file.Sync(); err != nil {
		return err
	}
	if err = os.Rename(temp, f.path); err != nil {
		return err
	}
	f.appender, f.base, f.changes = file, int64(len(text)), 0
	return nil
}

// removeLeftovers removes what processes that were killed in Replace have left.
func (f *File) removeLeftovers() {
	dir, base := filepath.Split(f.path)
	entries, _ := os.ReadDir(cmp.Or(dir, "."))
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), base+".") && strings.HasSuffix(entry.Name(), tempSuffix) {
			_ = os.Remove(dir + entry.Name())
		}
	}
}

// Append writes a change behind the records. After an error the next call must be Replace. A change that
// another process's Replace crosses is lost: the file is that process's from then on.
func (f *File) Append(change []byte) error {
	if f.appender == nil {
		return errors.New("there is no full state yet")
	}
	text := encode(change)
	if _, err := f.appender.Write(text); err != nil {
		f.Close()
		return err
	}
	f.changes += int64(len(text))
	return nil
}

// Open reports whether changes can be appended.
func (f *File) Open() bool { return f.appender != nil }

// Sizes returns how many bytes the full state takes, and the changes since.
func (f *File) Sizes() (state, changes int64) { return f.base, f.changes }

// Close ends the writing. The next call must be Replace.
func (f *File) Close() {
	if f.appender != nil {
		_ = f.appender.Close()
		f.appender = nil
	}
}
