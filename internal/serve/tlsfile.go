package serve

import (
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"

	"pearknot/internal/acme"
	"pearknot/internal/certs"
	"pearknot/internal/tomlfile"
)

const (
	msPerHour = 3600e3

	maxNamesPerCertificate = 100
	maxHostNameLength      = 253

	// minAccountKey is the least size of a key for external account binding, in bytes.
	minAccountKey = 16
)

// TLS is how a node serves TLS, and where its certificates come from.
type TLS struct {
	Address          string
	ChallengeAddress string // of http-01; empty is none
	ACME             acme.Options
}

// tlsFile is deploy/tls.toml. Required are listen, dir, one authority, one certificate, and one kind of challenge.
type tlsFile struct {
	Listen       string           `toml:"listen"`           // host:port of the TLS listener
	Challenge    string           `toml:"challenge_listen"` // host:port where http-01 is answered; default none
	ALPN         bool             `toml:"challenge_tls"`    // tls-alpn-01 is answered at listen; default true
	Dir          string           `toml:"dir"`              // of the certificate store
	Limits       tlsLimits        `toml:"limits"`
	Authorities  []tlsAuthority   `toml:"authority"` // in the order in which they are tried
	Certificates []tlsCertificate `toml:"certificate"`
}

// tlsLimits are all optional: the defaults are certs.DefaultLimits', the ranges those of ranges.
type tlsLimits struct {
	OrdersPerHour int     `toml:"orders_per_hour"` // orders of the store, 1 to 100
	FallBackAfter int     `toml:"fall_back_after"` // failures in a row until the next authority is tried, 1 to 1000
	ReturnAfterH  float64 `toml:"return_after_h"`  // time until the first authority is tried again, hours
	BackoffS      float64 `toml:"backoff_s"`       // wait after the first failure, s; doubled with each further one
	BackoffMostS  float64 `toml:"backoff_most_s"`  // longest wait after a failure, s
	InfoEveryH    float64 `toml:"info_every_h"`    // time between two polls of the renewal information, hours
}

// tlsAuthority is a certificate authority. Only directory is required; key_id and key_file go together.
type tlsAuthority struct {
	Directory string   `toml:"directory"`  // https URL of its ACME directory; plain http on this machine alone
	Contact   []string `toml:"contact"`    // URLs, such as mailto:
	Roots     string   `toml:"roots_file"` // PEM file of the roots that are trusted of it; default the system's
	KeyID     string   `toml:"key_id"`     // of external account binding
	Key       string   `toml:"key_file"`   // of external account binding, base64url
}

// tlsCertificate is a certificate; both keys are required.
type tlsCertificate struct {
	Name  string   `toml:"name"`  // by which operators' commands know it, distinct
	Names []string `toml:"names"` // host names, 1 to 100; no host name is in two certificates
}

var (
	hostName        = regexp.MustCompile(`^([a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.)*[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	certificateName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
)

// ReadTLS reads the operator's file of TLS, and the files that it names; relative paths are from where it is.
func ReadTLS(name string) (*TLS, error) {
	content := tlsFile{ALPN: true, Limits: tlsLimitsOf(certs.DefaultLimits())}
	file, err := tomlfile.Read(name, &content)
	if err != nil {
		return nil, err
	}
	if err := content.validate(file); err != nil {
		return nil, err
	}
	options := &TLS{
		Address:          content.Listen,
		ChallengeAddress: content.Challenge,
		ACME: acme.Options{
			Dir:        content.Dir,
			AnswerHTTP: content.Challenge != "",
			AnswerTLS:  content.ALPN,
			Limits:     content.Limits.limits(),
		},
	}
	if options.ACME.Names, err = certificateNames(file, content.Certificates); err != nil {
		return nil, err
	}
	for i, authority := range content.Authorities {
		read, err := authority.read(file, name, fmt.Sprintf("authority.%d.", i))
		if err != nil {
			return nil, err
		}
		options.ACME.Authorities = append(options.ACME.Authorities, read)
	}
	return options, nil
}

func tlsLimitsOf(limits certs.Limits) tlsLimits {
	return tlsLimits{
		OrdersPerHour: limits.OrdersPerHour,
		FallBackAfter: limits.FallbackAfter,
		ReturnAfterH:  limits.RetryPreferredAfter / msPerHour,
		BackoffS:      limits.MinBackoff / 1e3,
		BackoffMostS:  limits.MaxBackoff / 1e3,
		InfoEveryH:    limits.RenewalInfoInterval / msPerHour,
	}
}

func (l *tlsLimits) limits() certs.Limits {
	return certs.Limits{
		OrdersPerHour:       l.OrdersPerHour,
		FallbackAfter:       l.FallBackAfter,
		RetryPreferredAfter: l.ReturnAfterH * msPerHour,
		MinBackoff:          l.BackoffS * 1e3,
		MaxBackoff:          l.BackoffMostS * 1e3,
		RenewalInfoInterval: l.InfoEveryH * msPerHour,
	}
}

func (l *tlsLimits) ranges() []keyRange {
	return []keyRange{
		{"limits.orders_per_hour", float64(l.OrdersPerHour), 1, 100},
		{"limits.fall_back_after", float64(l.FallBackAfter), 1, 1000},
		{"limits.return_after_h", l.ReturnAfterH, 0.01, 8760},
		{"limits.backoff_s", l.BackoffS, 1, 86400},
		{"limits.backoff_most_s", l.BackoffMostS, l.BackoffS, 86400},
		{"limits.info_every_h", l.InfoEveryH, 0.1, 168},
	}
}

func (f *tlsFile) validate(file *tomlfile.File) error {
	if err := checkRanges(file, f.Limits.ranges()); err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return file.Errorf("listen", "%v", err)
	}
	if _, _, err := net.SplitHostPort(f.Challenge); f.Challenge != "" && err != nil {
		return file.Errorf("challenge_listen", "%v", err)
	}
	switch {
	case f.Dir == "":
		return file.Errorf("dir", "none given")
	case f.Challenge == "" && !f.ALPN:
		return file.Errorf("challenge_tls", "no kind of challenge is left: set challenge_listen, or this")
	case len(f.Authorities) == 0:
		return file.Errorf("authority", "none given")
	case len(f.Certificates) == 0:
		return file.Errorf("certificate", "none given")
	}
	return nil
}

// certificateNames returns the host names of each certificate by the certificate's name. No host name may be in two.
func certificateNames(file *tomlfile.File, certificates []tlsCertificate) (map[string][]string, error) {
	names := map[string][]string{}
	certificateOf := map[string]string{}
	for i, certificate := range certificates {
		key := fmt.Sprintf("certificate.%d.", i)
		if !certificateName.MatchString(certificate.Name) || names[certificate.Name] != nil {
			return nil, file.Errorf(key+"name", "%q is no name of its own, of small letters, digits, . _ and -", certificate.Name)
		}
		if len(certificate.Names) == 0 || len(certificate.Names) > maxNamesPerCertificate {
			return nil, file.Errorf(key+"names", "%d names are not 1 to 100", len(certificate.Names))
		}
		for _, host := range certificate.Names {
			if !hostName.MatchString(host) || len(host) > maxHostNameLength {
				return nil, file.Errorf(key+"names", "%q is no host's name in small letters", host)
			}
			if other := certificateOf[host]; other != "" {
				return nil, file.Errorf(key+"names", "%s is in %s already", host, other)
			}
			certificateOf[host] = certificate.Name
		}
		names[certificate.Name] = certificate.Names
	}
	return names, nil
}

// read checks a certificate authority and reads its files. name is the operator's file, key the authority's place in it.
func (a *tlsAuthority) read(file *tomlfile.File, name, key string) (acme.Authority, error) {
	authority := acme.Authority{Directory: a.Directory, Contact: a.Contact, KeyID: a.KeyID}
	if !isAuthorityURL(a.Directory) {
		return authority, file.Errorf(key+"directory", "%q is no https address", a.Directory)
	}
	if a.Roots != "" {
		data, err := os.ReadFile(besideFile(name, a.Roots))
		if err != nil {
			return authority, file.Errorf(key+"roots_file", "%v", err)
		}
		authority.Roots = x509.NewCertPool()
		if !authority.Roots.AppendCertsFromPEM(data) {
			return authority, file.Errorf(key+"roots_file", "%s: no certificate", a.Roots)
		}
	}
	if (a.KeyID == "") != (a.Key == "") {
		return authority, file.Errorf(key+"key_id", "key_id and key_file go together")
	}
	if a.Key != "" {
		path := besideFile(name, a.Key)
		secret, err := readAccountKey(path)
		if err != nil {
			return authority, file.Errorf(key+"key_file", "%s: %v", a.Key, strings.TrimPrefix(err.Error(), "open "+path+": "))
		}
		authority.KeyHMAC = secret
	}
	return authority, nil
}

// isAuthorityURL reports whether an authority's directory may be used: plain HTTP only on this machine.
func isAuthorityURL(directory string) bool {
	address, err := url.Parse(directory)
	if err != nil || address.Host == "" {
		return false
	}
	isLocal := address.Scheme == "http" && net.ParseIP(address.Hostname()).IsLoopback()
	return address.Scheme == "https" || isLocal
}

// readAccountKey reads a key for external account binding, in base64url.
func readAccountKey(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := base64.RawURLEncoding.DecodeString(strings.TrimRight(strings.TrimSpace(string(data)), "="))
	if err != nil {
		return nil, err
	}
	if len(key) < minAccountKey {
		return nil, errors.New("too short for a key")
	}
	return key, nil
}
