package acme

import (
	"context"
	"crypto"
	"crypto/tls"
	"fmt"
	"os"
	"time"

	"golang.org/x/crypto/acme"

	"pearknot/internal/certs"
)

// carryOut carries out an action of the scheduler's.
func (k *Keeper) carryOut(ctx context.Context, action certs.Action) error {
	authority, err := k.clientFor(action.Authority)
	if err != nil {
		return err
	}
	if action.Kind == certs.FetchRenewalInfo {
		return k.fetchRenewalInfo(ctx, authority, action)
	}
	if action.Kind == certs.CreateOrder {
		k.scheduler.OrderBegun(k.nowMs(), action)
		if err := k.store.saveState(k.scheduler.State); err != nil {
			return &failure{kind: certs.LocalFailure, err: err, isOver: true} // nothing was ordered yet
		}
		k.options.OnStep("noted")
	}
	if action.URL == "" { // a new order, or one whose creation was cut off
		if action.URL, err = k.createOrder(ctx, authority, action.Name); err != nil {
			return err
		}
	}
	return k.continueOrder(ctx, authority, action)
}

func (k *Keeper) fetchRenewalInfo(ctx context.Context, authority *client, action certs.Action) error {
	info, err := authority.renewalInfo(ctx, k.scheduler.Names[action.Name].Certificate.RenewalID)
	if err != nil {
		return err
	}
	k.scheduler.RenewalInfoFetched(k.nowMs(), action.Name, toMs(info.windowStart), toMs(info.windowEnd), float64(info.retryAfter.Milliseconds()))
	return nil
}

// createOrder creates an order and returns its URL. The order's key is stored before, the URL after it.
func (k *Keeper) createOrder(ctx context.Context, authority *client, name string) (string, error) {
	if _, err := k.store.loadOrCreateKey(k.store.orderKeyFile(name)); err != nil {
		return "", localFailure(err)
	}
	k.options.OnStep("keyed")
	url, err := authority.createOrder(ctx, k.options.Names[name])
	if err != nil {
		return "", err
	}
	k.options.OnStep("ordered")
	k.scheduler.OrderCreated(name, url)
	if err := k.store.saveState(k.scheduler.State); err != nil {
		return "", localFailure(err)
	}
	k.options.OnStep("opened")
	return url, nil
}

// continueOrder takes an order as far as it goes now. A certificate is served once it is verified and stored.
func (k *Keeper) continueOrder(ctx context.Context, authority *client, action certs.Action) error {
	names := k.options.Names[action.Name]
	key, current, err := k.orderKey(action.Name)
	if err != nil {
		return localFailure(err)
	}
	answer := func(challenge *acme.Challenge, host string) (func(), error) {
		return k.answerChallenge(authority, challenge, host)
	}
	chain, err := authority.continueOrder(ctx, action.URL, names, key, answer)
	if err != nil {
		return err
	}
	k.options.OnStep("fetched")
	leaf, err := verifyChain(chain, key, names, k.options.Authorities[action.Authority].Roots, k.options.Now())
	if err != nil {
		return &failure{kind: certs.CertificateUnusable, err: err, isOver: true}
	}
	if current == nil || !sameLeaf(current.Certificate, chain) {
		if err := k.store.saveCertificate(action.Name, chain, key); err != nil {
			return localFailure(err)
		}
	}
	k.options.OnStep("stored")
	k.serve(action.Name, &tls.Certificate{Certificate: chain, PrivateKey: key, Leaf: leaf})
	k.options.OnStep("swapped")
	k.scheduler.CertificateIssued(k.nowMs(), action.Name, certificateOf(leaf))
	k.options.Log.Info("serving certificate", "name", action.Name, "serial", leaf.SerialNumber.String(),
		"not_after", leaf.NotAfter.UTC().Format(time.RFC3339), "authority", action.Authority)
	return nil
}

// orderKey is the key of the open order, and the certificate that is served now.
//
// A process that ends after a certificate was stored, and before the state was, has the order still open and its key
// removed. Then the served certificate is the order's, and its key the order's key.
func (k *Keeper) orderKey(name string) (crypto.Signer, *tls.Certificate, error) {
	current, err := k.store.loadCertificate(name)
	if err != nil {
		current = nil
	}
	if current != nil && !k.store.exists(k.store.orderKeyFile(name)) {
		signer, ok := current.PrivateKey.(crypto.Signer)
		if !ok {
			return nil, nil, fmt.Errorf("a key of kind %T", current.PrivateKey)
		}
		return signer, current, nil
	}
	key, err := k.store.loadOrCreateKey(k.store.orderKeyFile(name))
	return key, current, err
}

// answerChallenge answers a challenge until withdraw is called. It returns errNotAnswered for one of a kind that is not
// answered here.
func (k *Keeper) answerChallenge(authority *client, challenge *acme.Challenge, host string) (withdraw func(), err error) {
	switch {
	case challenge.Type == challengeTLS && k.options.AnswerTLS:
		return k.answerTLS(authority, challenge, host)
	case challenge.Type == challengeHTTP && k.options.AnswerHTTP:
		return k.answerHTTP(authority, challenge)
	}
	return nil, errNotAnswered
}

func (k *Keeper) answerTLS(authority *client, challenge *acme.Challenge, host string) (withdraw func(), err error) {
	proof, err := authority.acme.TLSALPN01ChallengeCert(challenge.Token, host)
	if err != nil {
		return nil, err
	}
	unpublish, err := k.store.publishProof(host, &proof)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.proofs[host] = &proof
	return func() {
		unpublish()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.proofs, host)
	}, nil
}

func (k *Keeper) answerHTTP(authority *client, challenge *acme.Challenge) (withdraw func(), err error) {
	answer, err := authority.acme.HTTP01ChallengeResponse(challenge.Token)
	if err != nil {
		return nil, err
	}
	path := authority.acme.HTTP01ChallengePath(challenge.Token)
	unpublish, err := k.store.publishToken(path, answer)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tokens[path] = answer
	return func() {
		unpublish()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.tokens, path)
	}, nil
}

// Rollover gives the account at an authority a new key. The key is stored before the authority gets it: otherwise a
// process that ends in between loses the account.
func (k *Keeper) Rollover(ctx context.Context, authority int) error {
	c, err := k.clientFor(authority)
	if err != nil {
		return err
	}
	accountKeyFile := k.store.accountKeyFile(authority)
	newKeyFile := accountKeyFile + ".new"
	key, err := k.store.loadOrCreateKey(newKeyFile)
	if err != nil {
		return err
	}
	if err := c.rollover(ctx, key); err != nil {
		return oneLine(err)
	}
	if err := os.Rename(newKeyFile, accountKeyFile); err != nil {
		return err
	}
	c.close()
	k.clients[authority] = nil
	return nil
}

// Revoke revokes a certificate at the authority that issued it; another is ordered at once.
func (k *Keeper) Revoke(ctx context.Context, name string) error {
	nameState := k.scheduler.Names[name]
	if nameState == nil {
		return fmt.Errorf("no certificate %s", name)
	}
	current, err := k.store.loadCertificate(name)
	if err != nil {
		return err
	}
	if current == nil {
		return fmt.Errorf("no certificate %s", name)
	}
	authority, err := k.clientFor(nameState.Certificate.Authority)
	if err != nil {
		return err
	}
	if err := authority.revoke(ctx, current.Certificate[0]); err != nil {
		return oneLine(err)
	}
	k.scheduler.RenewAtOnce(name)
	return k.store.saveState(k.scheduler.State)
}

// Renew orders a certificate again now, whatever its age.
func (k *Keeper) Renew(name string) error {
	if k.scheduler.Names[name] == nil {
		return fmt.Errorf("no certificate %s", name)
	}
	k.scheduler.RenewAtOnce(name)
	return k.store.saveState(k.scheduler.State)
}
