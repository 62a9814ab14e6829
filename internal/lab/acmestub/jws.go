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

// signed is a body in JSON Web Signature (RFC 7515, 7.2.2), as RFC 8555, 6.2 has it.
type signed struct {
	Protected string `json:"protected"`
	Payload   string `json:"payload"`
	Signature string `json:"signature"`
}

// head is what is protected.
type head struct {
	Alg   string          `json:"alg"`
	Nonce string          `json:"nonce"`
	URL   string          `json:"url"`
	KID   string          `json:"kid"`
	JWK   json.RawMessage `json:"jwk"`
}

var raw64 = base64.RawURLEncoding

// parse takes a body apart; the signature is not checked yet.
func parse(data []byte) (s signed, h head, payload []byte, err error) {
	if err := json.Unmarshal(data, &s); err != nil {
		return s, h, nil, err
	}
	protected, err := raw64.DecodeString(s.Protected)
	if err != nil {
		return s, h, nil, err
	}
	if err := json.Unmarshal(protected, &h); err != nil {
		return s, h, nil, err
	}
	payload, err = raw64.DecodeString(s.Payload)
	return s, h, payload, err
}

// key is a JSON Web Key (RFC 7517) of the two kinds that accounts have here.
type key struct {
	public crypto.PublicKey
	thumb  string // RFC 7638
}

func parseKey(data []byte) (k key, err error) {
	var j struct{ Kty, Crv, X, Y, N, E string }
	if err := json.Unmarshal(data, &j); err != nil {
		return k, err
	}
	number := func(s string) *big.Int {
		b, e := raw64.DecodeString(s)
		if e != nil && err == nil {
			err = e
		}
		return new(big.Int).SetBytes(b)
	}
	var text string
	switch {
	case j.Kty == "EC" && j.Crv == "P-256":
		x, y := number(j.X), number(j.Y)
		if err != nil {
			return k, err
		}
		if k.public, err = p256Key(x, y); err != nil {
			return k, err
		}
		text = fmt.Sprintf(`{"crv":"P-256","kty":"EC","x":%q,"y":%q}`, j.X, j.Y)
	case j.Kty == "RSA":
		k.public = &rsa.PublicKey{N: number(j.N), E: int(number(j.E).Int64())}
		text = fmt.Sprintf(`{"e":%q,"kty":"RSA","n":%q}`, j.E, j.N)
	default:
		return k, fmt.Errorf("key of kind %q %q", j.Kty, j.Crv)
	}
	sum := sha256.Sum256([]byte(text))
	k.thumb = raw64.EncodeToString(sum[:])
	return k, err
}

// verify checks a signature by a key.
func (k key) verify(s signed, alg string) error {
	sig, err := raw64.DecodeString(s.Signature)
	if err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(s.Protected + "." + s.Payload))
	switch p := k.public.(type) {
	case *ecdsa.PublicKey:
		if alg != "ES256" || len(sig) != 64 {
			return errors.New("not an ES256 signature")
		}
		if !ecdsa.Verify(p, sum[:], new(big.Int).SetBytes(sig[:32]), new(big.Int).SetBytes(sig[32:])) {
			return errors.New("signature does not hold")
		}
	case *rsa.PublicKey:
		if alg != "RS256" {
			return errors.New("not an RS256 signature")
		}
		return rsa.VerifyPKCS1v15(p, crypto.SHA256, sum[:], sig)
	}
	return nil
}

// verifyMAC checks an external account binding (RFC 8555, 7.3.4).
func verifyMAC(secret []byte, s signed) error {
	sig, err := raw64.DecodeString(s.Signature)
	if err != nil {
		return err
	}
	m := hmac.New(sha256.New, secret)
	_, _ = m.Write([]byte(s.Protected + "." + s.Payload))
	if !hmac.Equal(sig, m.Sum(nil)) {
		return errors.New("binding does not hold")
	}
	return nil
}

// p256Key makes a key of a point's coordinates, which must lie on the curve P-256.
func p256Key(x, y *big.Int) (*ecdsa.PublicKey, error) {
	const size = 32 // bytes of a coordinate
	if x.BitLen() > 8*size || y.BitLen() > 8*size {
		return nil, errors.New("coordinate of a P-256 key is too long")
	}
	point := make([]byte, 1+2*size)
	point[0] = 4 // uncompressed
	x.FillBytes(point[1 : 1+size])
	y.FillBytes(point[1+size:])
	return ecdsa.ParseUncompressedPublicKey(elliptic.P256(), point)
}
