package client

import (
	"testing"

	"pearknot/internal/controlplane"
	"pearknot/internal/goldentest"
)

// Members, nodes and command lines of other builds exchange these messages, so their format must not change.
func TestMessageFormats(t *testing.T) {
	for file, v := range map[string]any{"call.json": &CallRequest{}, "answer.json": &CallResponse{}} {
		t.Run(file, func(t *testing.T) { goldentest.JSON(t, file, v) })
	}
}

// The copy of the settings on a node's disk is read by the next build that starts, so its format must not change.
func TestCopyFormat(t *testing.T) {
	text := []byte("{\n\"ttl\":4000\n}")
	goldentest.Equal(t, "copy.txt", encodeCopy(7, "f", text))
	doc, err := controlplane.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	c, err := decodeCopy(encodeCopy(7, "f", doc.Text()), "f")
	if err != nil || c.Version != 7 || string(c.Document.Text()) != string(doc.Text()) {
		t.Fatal(c, err)
	}
}
