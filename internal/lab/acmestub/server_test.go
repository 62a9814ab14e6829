package acmestub

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testClient sends signed requests to an authority of its own.
type testClient struct {
	authority *Authority
	server    *httptest.Server
	key       testKey
	now       time.Time // of the authority's clock
}

func newTestClient(t *testing.T) *testClient {
	t.Helper()
	c := &testClient{key: newTestKey(t), now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	var err error
	c.authority, err = New(Options{Now: func() time.Time { return c.now }})
	require.NoError(t, err)
	c.server = httptest.NewServer(c.authority)
	t.Cleanup(c.server.Close)
	return c
}

func (c *testClient) newNonce(t *testing.T) string {
	t.Helper()
	response, err := http.Head(c.server.URL + newNoncePath)
	require.NoError(t, err)
	response.Body.Close()
	return response.Header.Get("Replay-Nonce")
}

// postNewAccount registers the client's key, in a message that is signed for a URL with a nonce.
func (c *testClient) postNewAccount(t *testing.T, signedURL, nonce string) (status int, problemType string) {
	t.Helper()
	header := protectedHeader{Algorithm: algorithmES256, Nonce: nonce, URL: signedURL, Key: c.key.jwk}
	body := c.key.sign(t, header, `{"termsOfServiceAgreed":true}`)
	response, err := http.Post(c.server.URL+newAccountPath, "application/jose+json", bytes.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	var document struct {
		Type string `json:"type"` // of a problem; an account has none
	}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&document))
	return response.StatusCode, document.Type
}

// A request is replayed, or sent with a nonce or to a URL that its signature is not for. Each is refused with the problem
// type by which a client decides whether to try again.
func TestRequestAuthentication(t *testing.T) {
	c := newTestClient(t)
	accountURL, nonce := c.server.URL+newAccountPath, c.newNonce(t)
	for _, test := range []struct {
		name       string
		url, nonce string
		wantStatus int
		wantType   string
	}{
		{"first request", accountURL, nonce, http.StatusCreated, ""},
		{"same nonce again", accountURL, nonce, http.StatusBadRequest, "urn:ietf:params:acme:error:badNonce"},
		{"unknown nonce", accountURL, "unknown", http.StatusBadRequest, "urn:ietf:params:acme:error:badNonce"},
		{"another URL", c.server.URL + newOrderPath, c.newNonce(t), http.StatusUnauthorized, "urn:ietf:params:acme:error:unauthorized"},
		{"existing account", accountURL, c.newNonce(t), http.StatusOK, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, problemType := c.postNewAccount(t, test.url, test.nonce)
			assert.Equal(t, test.wantStatus, status)
			assert.Equal(t, test.wantType, problemType)
		})
	}
}

func TestScheduledFault(t *testing.T) {
	c := newTestClient(t)
	start := c.now
	c.authority.ScheduleFaults(
		ScheduledFault{Fault: FaultRateLimited, Start: start, End: start.Add(time.Minute), RetryAfter: 90 * time.Second},
		ScheduledFault{Fault: FaultExpired, Start: start, End: start.Add(time.Minute), Name: "a.example.org"},
	)
	assert.True(t, c.authority.isActive(FaultExpired, "a.example.org"))
	assert.False(t, c.authority.isActive(FaultExpired, "b.example.org"), "the fault is for another name")
	nonce := c.newNonce(t)
	status, problemType := c.postNewAccount(t, c.server.URL+newAccountPath, nonce)
	assert.Equal(t, http.StatusTooManyRequests, status)
	assert.Equal(t, "urn:ietf:params:acme:error:rateLimited", problemType)

	c.now = start.Add(time.Minute)
	status, _ = c.postNewAccount(t, c.server.URL+newAccountPath, nonce)
	assert.Equal(t, http.StatusCreated, status, "the fault has ended, and the limited request has not used the nonce up")
	assert.Equal(t, 2, c.authority.RequestCount(start, start.Add(time.Minute)))
}

func TestFaultNames(t *testing.T) {
	assert.Contains(t, FaultNames(), "unreachable")
	for _, name := range FaultNames() {
		assert.True(t, Fault(name).IsKnown(), name)
	}
	assert.False(t, Fault("unknown").IsKnown())
}
