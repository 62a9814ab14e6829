package serve

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"pearknot/internal/config"
)

// NotifyReload starts catching SIGHUP and returns the channel from which Run receives it. It must be called before the
// configuration is read, because a SIGHUP that is not caught ends the process. The channel holds one signal, which represents
// all that arrive before Run receives it.
func NotifyReload() chan os.Signal {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return reload
}

// removableKeys lists the keys that a new configuration may lack although the previous one had them.
var removableKeys = []string{"known", "tls", "tls_listen", "edge"}

// reload reads the configuration file again and activates it: its deployment through reconfigure, and discovery's address
// through setDiscoveryAddress. Changes of other addresses and of limits need a restart.
//
// The two are activated together or not at all: after an error the previous deployment and the previous address stay.
// There are two exceptions. Once settings of the control plane are active, the file's settings must still be readable, but
// they have no effect, and so it is not checked whether they could replace the active ones; discovery's address is still
// taken from the file. And the file of admission limits is read separately (reloadAdmission), after this function and also
// after it has failed.
func (c *Config) reload(setDiscoveryAddress func(address string), reconfigure func(*config.Deployment) error, log *slog.Logger) {
	next, err := c.readNext(log)
	ownsSettings := c.controlPlaneVersion == 0
	if err == nil && ownsSettings {
		err = c.applyNext(next, reconfigure)
	}
	if err != nil {
		log.Error("reloading the configuration failed, keeping the previous one", "error", err)
		return
	}
	c.keys = next.keys
	if ownsSettings {
		c.deployment = next.deployment
	} else {
		log.Info("settings in the configuration file ignored, control plane settings are active", "version", c.controlPlaneVersion)
	}
	if c.needsRestart(next) {
		log.Warn("configuration changes need a restart to take effect")
	}
	if next.discoveryAddress != c.discoveryAddress { // an unchanged watch continues
		defer setDiscoveryAddress(next.discoveryAddress)
	}
	c.discoveryAddress = next.discoveryAddress
	c.current.Store(next.current.Load())
	log.Info("configuration reloaded", "discovery", c.discoveryAddress, "classes", strings.Join(c.deployment.Classes, " "))
}

// readNext reads the file again. A key that was there before must not be missing, because the file may be only half written.
func (c *Config) readNext(log *slog.Logger) (*Config, error) {
	next, err := ReadConfig(c.file, log)
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(slices.Values(c.keys)) {
		if !slices.Contains(next.keys, key) && !slices.Contains(removableKeys, key) {
			return nil, fmt.Errorf("%s: %s is missing", c.file, key)
		}
	}
	return next, nil
}

// applyNext activates the next configuration's deployment.
func (c *Config) applyNext(next *Config, reconfigure func(*config.Deployment) error) error {
	if err := next.deployment.CheckReplaces(c.deployment); err != nil {
		return fmt.Errorf("%s: %w", c.file, err)
	}
	return reconfigure(next.deployment)
}

// needsRestart reports whether the next configuration differs in settings that are applied only at the start.
func (c *Config) needsRestart(next *Config) bool {
	return next.name != c.name ||
		next.address != c.address ||
		next.maxDescriptors != c.maxDescriptors ||
		next.memoryBytes != c.memoryBytes ||
		next.cores != c.cores ||
		next.tlsFile != c.tlsFile ||
		next.tlsAddress != c.tlsAddress ||
		next.admissionFile != c.admissionFile ||
		next.adminAddress != c.adminAddress
}
