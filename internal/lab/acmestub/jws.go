package acmestub

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/rsa"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
)

// Signature algorithms (RFC 7518, 3.1).
const (
	algorithmES256 = "ES256"
	algorithmRS256 = "RS256"
	algorithmHS256 = "HS256"
)

// p256Bytes is the size of a coordinate of the curve P-256, and of each half of an ES256 signature.
const p256Bytes = 32

// base64URL is the encoding of binary values in ACME (RFC 8555, 6.1).
var base64URL = base64.RawURLEncoding

// jws is a message in the flattened JSON serialization of JSON Web Signature (RFC 7515, 7.2.2), as RFC 8555, 6.2 asks
// for. It is parsed; whether its signature holds is up to publicKey.verify or verifyMAC.
type jws struct {
	header    protectedHeader
	payload   []byte
	signature string // still encoded
	signed    string // what the signature is over
}

// protectedHeader is the part of a message's header that is signed.
type protectedHeader struct {
	Algorithm string          `json:"alg"`
	Nonce     string          `json:"nonce"`
	URL       string          `json:"url"`
	KeyID     string          `json:"kid"`
	Key       json.RawMessage `json:"jwk"`
}

func parseJWS(data []byte) (*jws, error) {
	var encoded struct {
		Protected string `json:"protected"`
		Payload   string `json:"payload"`
		Signature string `json:"signature"`
	}
	if err := json.Unmarshal(data, &encoded); err != nil {
		return nil, err
	}
	message := &jws{signature: encoded.Signature, signed: encoded.Protected + "." + encoded.Payload}
	protected, err := base64URL.DecodeString(encoded.Protected)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(protected, &message.header); err != nil {
		return nil, err
	}
	message.payload, err = base64URL.DecodeString(encoded.Payload)
	return message, err
}

// publicKey is a JSON Web Key (RFC 7517) of one of the two types that accounts may have here.
type publicKey struct {
	key        crypto.PublicKey // *ecdsa.PublicKey on P-256, or *rsa.PublicKey
	thumbprint string           // RFC 7638
}

func parsePublicKey(data []byte) (publicKey, error) {
	var jwk struct {
		Type     string `json:"kty"`
		Curve    string `json:"crv"`
		X        string `json:"x"`
		Y        string `json:"y"`
		Modulus  string `json:"n"`
		Exponent string `json:"e"`
	}
	if err := json.Unmarshal(data, &jwk); err != nil {
		return publicKey{}, err
	}
	switch {
	case jwk.Type == "EC" && jwk.Curve == "P-256":
		x, y, err := decodeNumbers(jwk.X, jwk.Y)
		if err != nil {
			return publicKey{}, err
		}
		key, err := newP256Key(x, y)
		if err != nil {
			return publicKey{}, err
		}
		return publicKey{key, thumbprint(fmt.Sprintf(`{"crv":"P-256","kty":"EC","x":%q,"y":%q}`, jwk.X, jwk.Y))}, nil
	case jwk.Type == "RSA":
		modulus, exponent, err := decodeNumbers(jwk.Modulus, jwk.Exponent)
		if err != nil {
			return publicKey{}, err
		}
		key := &rsa.PublicKey{N: modulus, E: int(exponent.Int64())}
		return publicKey{key, thumbprint(fmt.Sprintf(`{"e":%q,"kty":"RSA","n":%q}`, jwk.Exponent, jwk.Modulus))}, nil
	default:
		return publicKey{}, fmt.Errorf("unsupported key type %q, curve %q", jwk.Type, jwk.Curve)
	}
}

// decodeNumbers decodes a key's two big-endian numbers.
func decodeNumbers(first, second string) (a, b *big.Int, err error) {
	firstBytes, err := base64URL.DecodeString(first)
	if err != nil {
		return nil, nil, err
	}
	secondBytes, err := base64URL.DecodeString(second)
	if err != nil {
		return nil, nil, err
	}
	return new(big.Int).SetBytes(firstBytes), new(big.Int).SetBytes(secondBytes), nil
}

// thumbprint is the digest of a key's required members in lexicographic order (RFC 7638, 3).
func thumbprint(members string) string {
	digest := sha256.Sum256([]byte(members))
	return base64URL.EncodeToString(digest[:])
}

// newP256Key makes a key of a point's coordinates, which must lie on the curve P-256.
func newP256Key(x, y *big.Int) (*ecdsa.PublicKey, error) {
	if x.BitLen() > 8*p256Bytes || y.BitLen() > 8*p256Bytes {
		return nil, errors.New("coordinate of a P-256 key is too long")
	}
	point := make([]byte, 1+2*p256Bytes)
	point[0] = 4 // uncompressed
	x.FillBytes(point[1 : 1+p256Bytes])
	y.FillBytes(point[1+p256Bytes:])
	return ecdsa.ParseUncompressedPublicKey(elliptic.P256(), point)
}

// verify checks that a message was signed with this key.
func (k publicKey) verify(message *jws) error {
	signature, err := base64URL.DecodeString(message.signature)
	if err != nil {
		return err
	}
	digest := sha256.Sum256([]byte(message.signed))
	switch key := k.key.(type) {
	case *ecdsa.PublicKey:
		if message.header.Algorithm != algorithmES256 || len(signature) != 2*p256Bytes {
			return errors.New("not an ES256 signature")
		}
		r := new(big.Int).SetBytes(signature[:p256Bytes])
		s := new(big.Int).SetBytes(signature[p256Bytes:])
		if !ecdsa.Verify(key, digest[:], r, s) {
			return errors.New("signature does not verify")
		}
	case *rsa.PublicKey:
		if message.header.Algorithm != algorithmRS256 {
			return errors.New("not an RS256 signature")
		}
		return rsa.VerifyPKCS1v15(key, crypto.SHA256, digest[:], signature)
	}
	return nil
}

// verifyMAC checks the signature of an external account binding (RFC 8555, 7.3.4).
func verifyMAC(secret []byte, message *jws) error {
	signature, err := base64URL.DecodeString(message.signature)
	if err != nil {
		return err
	}
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(message.signed)) // never fails
	if !hmac.Equal(signature, mac.Sum(nil)) {
		return errors.New("MAC does not verify")
	}
	return nil
}
