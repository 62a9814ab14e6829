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

	// minAccountKeyBytes is the minimum size of a key for external account binding.
	minAccountKeyBytes = 16
)

// TLS holds the settings of a node's TLS listener and of its certificates.
type TLS struct {
	Address          string
	ChallengeAddress string // for http-01; empty means none
	ACME             acme.Options
}

// tlsFile is the content of a file such as deploy/tls.toml. Required are listen, dir, one authority, one certificate, and one
// type of challenge.
type tlsFile struct {
	Listen       string           `toml:"listen"`           // host:port of the TLS listener
	Challenge    string           `toml:"challenge_listen"` // host:port at which http-01 is answered; default none
	ALPN         bool             `toml:"challenge_tls"`    // tls-alpn-01 is answered at listen; default true
	Dir          string           `toml:"dir"`              // directory of the certificate store
	Limits       tlsLimits        `toml:"limits"`
	Authorities  []tlsAuthority   `toml:"authority"` // in the order in which they are tried
	Certificates []tlsCertificate `toml:"certificate"`
}

// tlsLimits holds limits that are all optional. The defaults are those of certs.DefaultLimits, the ranges those of ranges.
type tlsLimits struct {
	OrdersPerHour int     `toml:"orders_per_hour"` // certificate orders per hour and store, 1 to 100
	FallBackAfter int     `toml:"fall_back_after"` // consecutive failures until the next authority is tried, 1 to 1000
	ReturnAfterH  float64 `toml:"return_after_h"`  // time until the first authority is tried again, hours
	BackoffS      float64 `toml:"backoff_s"`       // wait after the first failure, s; doubled after each further one
	BackoffMostS  float64 `toml:"backoff_most_s"`  // maximum wait after a failure, s
	InfoEveryH    float64 `toml:"info_every_h"`    // time between two polls of the renewal information, hours
}

// tlsAuthority is a certificate authority. Only directory is required; key_id and key_file must be set together.
type tlsAuthority struct {
	Directory string   `toml:"directory"`  // https URL of its ACME directory; plain http only on this machine
	Contact   []string `toml:"contact"`    // URLs, such as mailto:
	Roots     string   `toml:"roots_file"` // PEM file of the root certificates trusted for it; default the system's
	KeyID     string   `toml:"key_id"`     // key identifier for external account binding
	Key       string   `toml:"key_file"`   // file with the key for external account binding, base64url
}

// tlsCertificate is a certificate; both keys are required.
type tlsCertificate struct {
	Name  string   `toml:"name"`  // distinct name, used in operators' commands
	Names []string `toml:"names"` // host names, 1 to 100; a host name may be in one certificate only
}

var (
	hostNamePattern        = regexp.MustCompile(`^([a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.)*[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	certificateNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
)

// ReadTLS reads the operator's TLS file, and the files that it names. Relative paths are resolved against its directory.
func ReadTLS(name string) (*TLS, error) {
	content := tlsFile{ALPN: true, Limits: newTLSLimits(certs.DefaultLimits())}
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

func newTLSLimits(limits certs.Limits) tlsLimits {
	return tlsLimits{
		OrdersPerHour: limits.OrdersPerHour,
		FallBackAfter: limits.FallBackAfter,
		ReturnAfterH:  limits.ReturnAfter / msPerHour,
		BackoffS:      limits.MinBackoff / 1e3,
		BackoffMostS:  limits.MaxBackoff / 1e3,
		InfoEveryH:    limits.RenewalInfoInterval / msPerHour,
	}
}

func (l *tlsLimits) limits() certs.Limits {
	return certs.Limits{
		OrdersPerHour:       l.OrdersPerHour,
		FallBackAfter:       l.FallBackAfter,
		ReturnAfter:         l.ReturnAfterH * msPerHour,
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
		return file.Errorf("challenge_tls", "no challenge type is enabled: set challenge_listen or challenge_tls")
	case len(f.Authorities) == 0:
		return file.Errorf("authority", "none given")
	case len(f.Certificates) == 0:
		return file.Errorf("certificate", "none given")
	}
	return nil
}

// certificateNames returns the host names of each certificate by the certificate's name. A host name may be in one certificate
// only.
func certificateNames(file *tomlfile.File, certificates []tlsCertificate) (map[string][]string, error) {
	names := map[string][]string{}
	certificateOf := map[string]string{}
	for i, certificate := range certificates {
		key := fmt.Sprintf("certificate.%d.", i)
		if !certificateNamePattern.MatchString(certificate.Name) || names[certificate.Name] != nil {
			return nil, file.Errorf(key+"name", "%q is not a name of lower-case letters, digits, . _ and -, or is used twice", certificate.Name)
		}
		if len(certificate.Names) == 0 || len(certificate.Names) > maxNamesPerCertificate {
			return nil, file.Errorf(key+"names", "%d names, must be 1 to 100", len(certificate.Names))
		}
		for _, host := range certificate.Names {
			if !hostNamePattern.MatchString(host) || len(host) > maxHostNameLength {
				return nil, file.Errorf(key+"names", "%q is not a lower-case host name", host)
			}
			if other := certificateOf[host]; other != "" {
				return nil, file.Errorf(key+"names", "%s is already in certificate %s", host, other)
			}
			certificateOf[host] = certificate.Name
		}
		names[certificate.Name] = certificate.Names
	}
	return names, nil
}

// read checks a certificate authority and reads its files. name is the operator's file, key the authority's key in it.
func (a *tlsAuthority) read(file *tomlfile.File, name, key string) (acme.Authority, error) {
	authority := acme.Authority{Directory: a.Directory, Contact: a.Contact, KeyID: a.KeyID}
	if !isAuthorityURL(a.Directory) {
		return authority, file.Errorf(key+"directory", "%q is not an https URL", a.Directory)
	}
	if a.Roots != "" {
		data, err := os.ReadFile(resolvePath(name, a.Roots))
		if err != nil {
			return authority, file.Errorf(key+"roots_file", "%v", err)
		}
		authority.Roots = x509.NewCertPool()
		if !authority.Roots.AppendCertsFromPEM(data) {
			return authority, file.Errorf(key+"roots_file", "%s: contains no certificate", a.Roots)
		}
	}
	if (a.KeyID == "") != (a.Key == "") {
		return authority, file.Errorf(key+"key_id", "key_id and key_file must be set together")
	}
	if a.Key != "" {
		path := resolvePath(name, a.Key)
		secret, err := readAccountKey(path)
		if err != nil {
			return authority, file.Errorf(key+"key_file", "%s: %v", a.Key, strings.TrimPrefix(err.Error(), "open "+path+": "))
		}
		authority.KeyHMAC = secret
	}
	return authority, nil
}

// isAuthorityURL reports whether a URL is allowed as an authority's directory. Plain HTTP is allowed only on this machine.
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
	if len(key) < minAccountKeyBytes {
		return nil, errors.New("key is too short, needs at least 16 bytes")
	}
	return key, nil
}
