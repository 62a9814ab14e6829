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

// execute performs an action that the scheduler has returned.
func (m *Manager) execute(ctx context.Context, action certs.Action) error {
	authority, err := m.clientFor(action.Authority)
	if err != nil {
		return err
	}
	if action.Kind == certs.FetchRenewalInfo {
		return m.fetchRenewalInfo(ctx, authority, action)
	}
	if action.Kind == certs.CreateOrder {
		m.scheduler.OrderBegun(m.nowMs(), action)
		if err := m.store.saveState(m.scheduler.State); err != nil {
			return &failure{kind: certs.LocalFailure, err: err, endsOrder: true} // nothing has been ordered yet
		}
		m.options.OnStep("noted")
	}
	if action.URL == "" { // a new order, or one whose creation was interrupted
		if action.URL, err = m.createOrder(ctx, authority, action.Name); err != nil {
			return err
		}
	}
	return m.continueOrder(ctx, authority, action)
}

func (m *Manager) fetchRenewalInfo(ctx context.Context, authority *client, action certs.Action) error {
	info, err := authority.renewalInfo(ctx, m.scheduler.Names[action.Name].Certificate.RenewalID)
	if err != nil {
		return err
	}
	m.scheduler.RenewalInfoFetched(m.nowMs(), action.Name, toMs(info.windowStart), toMs(info.windowEnd), float64(info.retryAfter.Milliseconds()))
	return nil
}

// createOrder creates an order and returns its URL. The order's key is stored before the order is created, its URL after
// that.
func (m *Manager) createOrder(ctx context.Context, authority *client, name string) (string, error) {
	if _, err := m.store.loadOrCreateKey(m.store.orderKeyFile(name)); err != nil {
		return "", localFailure(err)
	}
	m.options.OnStep("keyed")
	url, err := authority.createOrder(ctx, m.options.Names[name])
	if err != nil {
		return "", err
	}
	m.options.OnStep("ordered")
	m.scheduler.OrderCreated(name, url)
	if err := m.store.saveState(m.scheduler.State); err != nil {
		return "", localFailure(err)
	}
	m.options.OnStep("opened")
	return url, nil
}

// continueOrder advances an order as far as possible now. A certificate is served once it is verified and stored.
func (m *Manager) continueOrder(ctx context.Context, authority *client, action certs.Action) error {
	names := m.options.Names[action.Name]
	key, current, err := m.orderKey(action.Name)
	if err != nil {
		return localFailure(err)
	}
	answer := func(challenge *acme.Challenge, host string) (func(), error) {
		return m.answerChallenge(authority, challenge, host)
	}
	chain, err := authority.continueOrder(ctx, action.URL, names, key, answer)
	if err != nil {
		return err
	}
	m.options.OnStep("fetched")
	leaf, err := verifyChain(chain, key, names, m.options.Authorities[action.Authority].Roots, m.options.Now())
	if err != nil {
		return &failure{kind: certs.CertificateUnusable, err: err, endsOrder: true}
	}
	if current == nil || !sameLeaf(current.Certificate, chain) {
		if err := m.store.saveCertificate(action.Name, chain, key); err != nil {
			return localFailure(err)
		}
	}
	m.options.OnStep("stored")
	m.serve(action.Name, &tls.Certificate{Certificate: chain, PrivateKey: key, Leaf: leaf})
	m.options.OnStep("swapped")
	m.scheduler.CertificateIssued(m.nowMs(), action.Name, certificateOf(leaf))
	m.options.Log.Info("serving certificate", "name", action.Name, "serial", leaf.SerialNumber.String(),
		"not_after", leaf.NotAfter.UTC().Format(time.RFC3339), "authority", action.Authority)
	return nil
}

// orderKey returns the key of the open order, and the certificate that is currently served.
//
// If a process ends after storing a certificate and before storing the state, the order is still open in the state and
// its key removed. Then the served certificate is the one of that order, and its key is the order's key.
func (m *Manager) orderKey(name string) (crypto.Signer, *tls.Certificate, error) {
	current, err := m.store.loadCertificate(name)
	if err != nil {
		current = nil
	}
	if current != nil && !m.store.exists(m.store.orderKeyFile(name)) {
		signer, ok := current.PrivateKey.(crypto.Signer)
		if !ok {
			return nil, nil, fmt.Errorf("unsupported key type %T", current.PrivateKey)
		}
		return signer, current, nil
	}
	key, err := m.store.loadOrCreateKey(m.store.orderKeyFile(name))
	return key, current, err
}

// answerChallenge publishes the answer to a challenge until withdraw is called. It returns
// errUnsupportedChallenge for a challenge type that is not enabled.
func (m *Manager) answerChallenge(authority *client, challenge *acme.Challenge, host string) (withdraw func(), err error) {
	switch {
	case challenge.Type == challengeTLS && m.options.AnswerTLS:
		return m.answerTLS(authority, challenge, host)
	case challenge.Type == challengeHTTP && m.options.AnswerHTTP:
		return m.answerHTTP(authority, challenge)
	}
	return nil, errUnsupportedChallenge
}

func (m *Manager) answerTLS(authority *client, challenge *acme.Challenge, host string) (withdraw func(), err error) {
	proof, err := authority.acme.TLSALPN01ChallengeCert(challenge.Token, host)
	if err != nil {
		return nil, err
	}
	unpublish, err := m.store.publishTLSAnswer(host, &proof)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.challengeCertificates[host] = &proof
	return func() {
		unpublish()
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.challengeCertificates, host)
	}, nil
}

func (m *Manager) answerHTTP(authority *client, challenge *acme.Challenge) (withdraw func(), err error) {
	answer, err := authority.acme.HTTP01ChallengeResponse(challenge.Token)
	if err != nil {
		return nil, err
	}
	path := authority.acme.HTTP01ChallengePath(challenge.Token)
	unpublish, err := m.store.publishHTTPAnswer(path, answer)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.httpAnswers[path] = answer
	return func() {
		unpublish()
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.httpAnswers, path)
	}, nil
}

// Rollover replaces the key of the account at an authority. The new key is stored before it is sent: otherwise a process
// that ends in between loses the account.
func (m *Manager) Rollover(ctx context.Context, authority int) error {
	c, err := m.clientFor(authority)
	if err != nil {
		return err
	}
	accountKeyFile := m.store.accountKeyFile(authority)
	newKeyFile := accountKeyFile + ".new"
	key, err := m.store.loadOrCreateKey(newKeyFile)
	if err != nil {
		return err
	}
	if err := c.rollover(ctx, key); err != nil {
		return singleLineError(err)
	}
	if err := os.Rename(newKeyFile, accountKeyFile); err != nil {
		return err
	}
	c.close()
	m.clients[authority] = nil
	return nil
}

// Revoke revokes a certificate at the authority that issued it; a replacement is ordered at once.
func (m *Manager) Revoke(ctx context.Context, name string) error {
	nameState := m.scheduler.Names[name]
	if nameState == nil {
		return fmt.Errorf("no certificate %s", name)
	}
	current, err := m.store.loadCertificate(name)
	if err != nil {
		return err
	}
	if current == nil {
		return fmt.Errorf("no certificate %s", name)
	}
	authority, err := m.clientFor(nameState.Certificate.Authority)
	if err != nil {
		return err
	}
	if err := authority.revoke(ctx, current.Certificate[0]); err != nil {
		return singleLineError(err)
	}
	m.scheduler.RenewAtOnce(name)
	return m.store.saveState(m.scheduler.State)
}

// Renew orders a certificate again now, whatever its age.
func (m *Manager) Renew(name string) error {
	if m.scheduler.Names[name] == nil {
		return fmt.Errorf("no certificate %s", name)
	}
	m.scheduler.RenewAtOnce(name)
	return m.store.saveState(m.scheduler.State)
}
