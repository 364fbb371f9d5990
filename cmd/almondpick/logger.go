package main

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"
)

// newLogger returns a logger that writes a line of key=value pairs for each event. Events of
// the named subsystems are logged from debug level on, all others from level on. An unknown
// level counts as info.
func newLogger(w io.Writer, level string, subsystems []string) *slog.Logger {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		minLevel = slog.LevelInfo
	}
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: replaceNewlines})
	return slog.New(&levelHandler{Handler: handler, minLevel: minLevel, debugSubsystems: subsystems})
}

// replaceNewlines replaces the newlines in string values by spaces, so that an event is one
// line.
func replaceNewlines(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindString {
		a.Value = slog.StringValue(strings.ReplaceAll(a.Value.String(), "\n", " "))
	}
	return a
}

// levelHandler handles events from minLevel on, and those of debugSubsystems from debug
// level on. The subsystem of a logger is its attribute "subsystem".
type levelHandler struct {
	slog.Handler
	minLevel        slog.Level
	debugSubsystems []string
	subsystem       string
}

// Enabled implements slog.Handler.
func (h *levelHandler) Enabled(_ context.Context, l slog.Level) bool {
	return l >= h.minLevel || slices.Contains(h.debugSubsystems, h.subsystem)
}

// WithAttrs implements slog.Handler.
func (h *levelHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *h
	next.Handler = h.Handler.WithAttrs(attrs)
	for _, a := range attrs {
		if a.Key == "subsystem" {
			next.subsystem = a.Value.String()
		}
	}
	return &next
}

// WithGroup implements slog.Handler.
func (h *levelHandler) WithGroup(name string) slog.Handler {
	next := *h
	next.Handler = h.Handler.WithGroup(name)
	return &next
}
