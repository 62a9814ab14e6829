package acmestub

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// exampleRSAKey is the key of RFC 7638, 3.1.
const exampleRSAKey = `{"kty":"RSA","n":"0vx7agoebGcQSuuPiLJXZptN9nndrQmbXEps2aiAFbWhM78LhWx4cbbfAAtVT86zwu1RK7aPFFxuhDR1L6tSoc_BJECPebWKRXjBZ` +
	`CiFV4n3oknjhMstn64tZ_2W-5JsGY4Hc5n9yBXArwl93lqt7_RN5w6Cf0h4QyQ5v-65YGjQR0_FDW2QvzqY368QQMicAtaSqzs8KJZgnYb9c7d0zgdAZHzu6qMQvRL5haj` +
	`rn1n91CbOpbISD08qNLyrdkt-bFTWhAI4vMQFh6WeZu0fM4lFd2NcRwr3XPksINHaQ-G_xBniIqbw0Ls1jF44-csFCur-kEgU8awapJzKnqDKgw","e":"AQAB"}`

func TestParsePublicKey(t *testing.T) {
	key, err := parsePublicKey([]byte(exampleRSAKey))
	require.NoError(t, err)
	assert.Equal(t, "NzbLsXh8uDCcd-6MNwXF4W_7noWXFZAfHkxZsRGC9Xs", key.thumbprint)
	for _, c := range []struct{ name, key string }{
		{"no JSON", `{`},
		{"unsupported type", `{"kty":"OKP","crv":"Ed25519","x":"AA"}`},
		{"unsupported curve", `{"kty":"EC","crv":"P-384","x":"AA","y":"AA"}`},
		{"not on the curve", `{"kty":"EC","crv":"P-256","x":"AQ","y":"AQ"}`},
		{"coordinate too long", `{"kty":"EC","crv":"P-256","x":"AQ","y":"` + base64URL.EncodeToString([]byte{33: 0, 0: 1}) + `"}`},
		{"not base64url", `{"kty":"RSA","n":"+","e":"AQAB"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parsePublicKey([]byte(c.key))
			assert.Error(t, err)
		})
	}
}

// testKey is a client's key.
type testKey struct {
	private *ecdsa.PrivateKey
	jwk     json.RawMessage
}

func newTestKey(t *testing.T) testKey {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	point, err := private.PublicKey.Bytes()
	require.NoError(t, err)
	x, y := base64URL.EncodeToString(point[1:1+p256Bytes]), base64URL.EncodeToString(point[1+p256Bytes:])
	return testKey{private: private, jwk: fmt.Appendf(nil, `{"kty":"EC","crv":"P-256","x":%q,"y":%q}`, x, y)}
}

// sign encodes a message with this key's signature.
func (k testKey) sign(t *testing.T, header protectedHeader, payload string) []byte {
	t.Helper()
	return encodeJWS(t, header, payload, func(signed string) []byte {
		digest := sha256.Sum256([]byte(signed))
		r, s, err := ecdsa.Sign(rand.Reader, k.private, digest[:])
		require.NoError(t, err)
		signature := make([]byte, 2*p256Bytes)
		r.FillBytes(signature[:p256Bytes])
		s.FillBytes(signature[p256Bytes:])
		return signature
	})
}

func encodeJWS(t *testing.T, header protectedHeader, payload string, sign func(signed string) []byte) []byte {
	t.Helper()
	headerJSON, err := json.Marshal(header)
	require.NoError(t, err)
	message := map[string]string{
		"protected": base64URL.EncodeToString(headerJSON),
		"payload":   base64URL.EncodeToString([]byte(payload)),
	}
	message["signature"] = base64URL.EncodeToString(sign(message["protected"] + "." + message["payload"]))
	data, err := json.Marshal(message)
	require.NoError(t, err)
	return data
}

func TestVerify(t *testing.T) {
	client, other := newTestKey(t), newTestKey(t)
	key, err := parsePublicKey(client.jwk)
	require.NoError(t, err)
	for _, c := range []struct {
		name      string
		signer    testKey
		algorithm string
		wantError string
	}{
		{"own signature", client, algorithmES256, ""},
		{"another key's signature", other, algorithmES256, "signature does not verify"},
		{"another algorithm", client, algorithmRS256, "not an ES256 signature"},
	} {
		t.Run(c.name, func(t *testing.T) {
			header := protectedHeader{Algorithm: c.algorithm, URL: "u", Key: client.jwk}
			message, err := parseJWS(c.signer.sign(t, header, "payload"))
			require.NoError(t, err)
			assert.Equal(t, "payload", string(message.payload))
			assert.Equal(t, "u", message.header.URL)
			err = key.verify(message)
			if c.wantError == "" {
				assert.NoError(t, err)
			} else {
				assert.EqualError(t, err, c.wantError)
			}
		})
	}
}

func TestVerifyMAC(t *testing.T) {
	secret := []byte("secret")
	data := encodeJWS(t, protectedHeader{Algorithm: algorithmHS256, Key: json.RawMessage("null")}, "payload", func(signed string) []byte {
		mac := hmac.New(sha256.New, secret)
		_, _ = mac.Write([]byte(signed))
		return mac.Sum(nil)
	})
	message, err := parseJWS(data)
	require.NoError(t, err)
	assert.NoError(t, verifyMAC(secret, message))
	assert.Error(t, verifyMAC([]byte("another"), message))
}
