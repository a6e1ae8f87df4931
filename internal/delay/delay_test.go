package delay

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestOnlyLateActionsAreRecorded(t *testing.T) {
	var log bytes.Buffer
	r := NewRecorder(slog.New(slog.NewTextHandler(&log, nil)))
	r.Record(Reply, Threshold-time.Millisecond, "query", "q1")
	r.Record(Reply, 70*time.Millisecond, "query", "q2")
	r.Record(Reply, 60*time.Millisecond, "query", "q3")
	if got, want := r.Stats()[Reply], (Stats{Late: 2, LongestMS: 70}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	want := "action=reply took=70ms query=q2"
	if text := log.String(); strings.Contains(text, "q1") || !strings.Contains(text, want) {
		t.Errorf("log: %s", text)
	}
	if (*Recorder)(nil).Stats() != nil {
		t.Error("a nil Recorder has counts")
	}
}
