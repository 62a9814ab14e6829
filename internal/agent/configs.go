package agent

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// Digest returns the name under which a configuration's text is stored.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// storeConfig stores a configuration's text and returns its digest.
func (a *Agent) storeConfig(text string) (digest string, err error) {
	digest = Digest(text)
	name := configFile(a.options.Dir, digest)
	if _, err := os.Stat(name); err == nil {
		return digest, nil
	}
	return digest, renameio.WriteFile(name, []byte(text), 0o600)
}

// removeUnusedConfigs removes configurations that no stored generation or record names.
func (a *Agent) removeUnusedConfigs() {
	named := map[string]bool{}
	for _, generation := range a.fleet.Generations {
		for _, instance := range generation.Set {
			named[instance.Digest] = true
		}
	}
	for _, record := range a.fleet.Records {
		named[record.Digest] = true
	}
	files, _ := filepath.Glob(filepath.Join(a.options.Dir, "configs", "*.json"))
	for _, file := range files {
		base := filepath.Base(file)
		if !named[base[:len(base)-len(".json")]] {
			_ = os.Remove(file)
		}
	}
}
