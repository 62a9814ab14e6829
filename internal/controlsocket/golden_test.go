package controlsocket

import (
	"testing"

	"pearknot/internal/goldentest"
	"pearknot/internal/requestlog"
	"pearknot/internal/server"
)

// Agents, commands and operators' scripts of other builds read these responses.
func TestResponseEncodings(t *testing.T) {
	for file, v := range map[string]any{"status.json": &Status{}, "service.json": &Service{}, "certificate.json": &Certificate{},
		"written.json": &CaptureFile{}, "clients.json": &server.ClientStats{}, "peers.json": &requestlog.Status{}} {
		t.Run(file, func(t *testing.T) { goldentest.JSON(t, file, v) })
	}
}
