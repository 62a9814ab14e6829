package control

import (
	"testing"

	"pearknot/internal/estate"
	"pearknot/internal/front"
	"pearknot/internal/goldentest"
)

// Agents, command lines and operators' scripts of other builds read these answers.
func TestAnswerForms(t *testing.T) {
	for file, v := range map[string]any{"status.json": &Status{}, "service.json": &Service{}, "certificate.json": &Certificate{},
		"written.json": &Written{}, "clients.json": &front.Clients{}, "peers.json": &estate.Picture{}} {
		t.Run(file, func(t *testing.T) { goldentest.JSON(t, file, v) })
	}
}
