package acmestub

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// URL paths of resources; those that end with a slash are followed by an ID.
const (
	directoryPath     = "/directory"
	newNoncePath      = "/nonce"
	newAccountPath    = "/account"
	accountPath       = "/account/"
	keyChangePath     = "/key-change"
	newOrderPath      = "/order"
	orderPath         = "/order/"
	authorizationPath = "/authz/"
	challengePath     = "/challenge/" // followed by the challenge's type and the ID of its authorization
	finalizePath      = "/finalize/"
	certificatePath   = "/cert/"
	revokePath        = "/revoke"
	renewalInfoPath   = "/info"
)

const (
	maxRequestBytes      = 1 << 20
	endlessResponseBytes = 256 << 20
)

func (a *Authority) registerHandlers() {
	a.mux.HandleFunc("GET "+directoryPath, a.handleDirectory)
	a.mux.HandleFunc(newNoncePath, handleNewNonce)
	a.mux.HandleFunc("GET "+renewalInfoPath+"/{id}", a.handleRenewalInfo)
	a.registerSigned(newAccountPath, a.handleNewAccount)
	a.registerSigned(accountPath+"{id}", a.handleAccount)
	a.registerSigned(keyChangePath, a.handleKeyChange)
	a.registerSigned(newOrderPath, a.handleNewOrder)
	a.registerSigned(orderPath+"{id}", a.handleOrder)
	a.registerSigned(authorizationPath+"{id}", a.handleAuthorization)
	a.registerSigned(challengePath+"{type}/{id}", a.handleChallenge)
	a.registerSigned(finalizePath+"{id}", a.handleFinalize)
	a.registerSigned(certificatePath+"{id}", a.handleCertificate)
	a.registerSigned(revokePath, a.handleRevoke)
}

// registerSigned has POST requests of a path authenticated before their handler runs. A handler's error is the response:
// a problem as it is, any other as a malformed request.
func (a *Authority) registerSigned(pattern string, handler func(*signedRequest) error) {
	a.mux.HandleFunc("POST "+pattern, func(w http.ResponseWriter, r *http.Request) {
		request := &signedRequest{writer: w, request: r, baseURL: baseURL(r)}
		err := a.authenticate(request)
		if err == nil {
			err = handler(request)
		}
		var p *problem
		switch {
		case errors.As(err, &p):
			writeProblem(w, p)
		case err != nil:
			writeProblem(w, newProblem(http.StatusBadRequest, problemMalformed, "%v", err))
		}
	})
}

// ServeHTTP answers a request, or plays the fault that is active.
func (a *Authority) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.requestTimes = append(a.requestTimes, a.options.Now())
	a.mu.Unlock()
	if a.isActive(FaultUnreachable, "") {
		panic(http.ErrAbortHandler) // net/http closes the connection without a response
	}
	if fault, active := a.activeFault(FaultSlow, ""); active {
		time.Sleep(fault.Delay)
	}
	w.Header().Set("Replay-Nonce", a.newNonce())
	w.Header().Set("Cache-Control", "no-store")
	if !a.answerWithFault(w, r) {
		a.mux.ServeHTTP(w, r)
	}
}

// answerWithFault answers in place of the request's handler where a fault that spoils whole responses is active.
func (a *Authority) answerWithFault(w http.ResponseWriter, r *http.Request) (answered bool) {
	isLimited := r.URL.Path != newNoncePath && r.URL.Path != directoryPath
	if fault, active := a.activeFault(FaultRateLimited, ""); active && isLimited {
		w.Header().Set("Retry-After", strconv.Itoa(int(fault.RetryAfter.Seconds())))
		writeProblem(w, newProblem(http.StatusTooManyRequests, problemRateLimited, "too many requests, retry after %v", fault.RetryAfter))
		return true
	}
	switch {
	case a.isActive(FaultInternalError, ""):
		writeProblem(w, newProblem(http.StatusInternalServerError, problemServerInternal, "internal error on schedule"))
	case a.isActive(FaultGarbage, ""):
		_, _ = io.WriteString(w, "<html>not what you want")
	case a.isActive(FaultEndlessResponse, ""):
		writeEndlessResponse(w)
	default:
		return false
	}
	return true
}

func writeEndlessResponse(w io.Writer) {
	chunk := make([]byte, 64<<10)
	for written := 0; written < endlessResponseBytes; written += len(chunk) {
		if _, err := w.Write(chunk); err != nil {
			return // the client has had enough
		}
	}
}

func baseURL(r *http.Request) string { return "http://" + r.Host }

// signedRequest is a request whose sender has proved that it holds a key (RFC 8555, 6.2).
type signedRequest struct {
	writer      http.ResponseWriter
	request     *http.Request
	baseURL     string
	payload     []byte
	accountPath string // empty where the request names its key in place of an account
	key         publicKey
}

// decode reads the payload as JSON.
func (r *signedRequest) decode(v any) error { return json.Unmarshal(r.payload, v) }

// reply writes a response in JSON.
func (r *signedRequest) reply(status int, v any) { writeJSON(r.writer, status, v) }

// setLocation names the URL of the resource that the response describes.
func (r *signedRequest) setLocation(path string) { r.writer.Header().Set("Location", r.baseURL+path) }

// setRetryAfter asks the client to poll again after a second.
func (r *signedRequest) setRetryAfter() { r.writer.Header().Set("Retry-After", "1") }

// asksDeactivation tells whether an account or authorization is to be deactivated (RFC 8555, 7.3.6 and 7.5.2). An empty
// payload is a POST-as-GET, which only reads.
func (r *signedRequest) asksDeactivation() (bool, error) {
	if len(r.payload) == 0 {
		return false, nil
	}
	var update struct {
		Status resourceStatus `json:"status"`
	}
	err := r.decode(&update)
	return update.Status == statusDeactivated, err
}

// authenticate checks a request's nonce, URL, key and signature (RFC 8555, 6.2 to 6.5) and fills in what they tell.
func (a *Authority) authenticate(r *signedRequest) error {
	body, err := io.ReadAll(io.LimitReader(r.request.Body, maxRequestBytes))
	if err != nil {
		return err
	}
	message, err := parseJWS(body)
	if err != nil {
		return err
	}
	header := message.header
	r.payload = message.payload
	isNonceRefused := a.isActive(FaultBadNonce, "")
	path := strings.TrimPrefix(header.KeyID, r.baseURL)
	a.mu.Lock()
	isNonceKnown := a.nonces[header.Nonce]
	delete(a.nonces, header.Nonce)
	sender := a.accounts[path]
	a.mu.Unlock()
	switch {
	case !isNonceKnown || isNonceRefused:
		return newProblem(http.StatusBadRequest, problemBadNonce, "nonce is unknown or was used before")
	case header.URL != r.baseURL+r.request.URL.Path:
		return newProblem(http.StatusUnauthorized, problemUnauthorized, "signed for %s", header.URL)
	case len(header.Key) > 0 && header.KeyID == "":
		if r.key, err = parsePublicKey(header.Key); err != nil {
			return newProblem(http.StatusBadRequest, problemBadPublicKey, "%v", err)
		}
	case sender == nil || sender.isDeactivated:
		return newProblem(http.StatusBadRequest, problemAccountDoesNotExist, "no such account")
	default:
		r.key, r.accountPath = sender.key, path
	}
	if err := r.key.verify(message); err != nil {
		return newProblem(http.StatusBadRequest, problemMalformed, "%v", err)
	}
	return nil
}
