package operator_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/operator"
	"github.com/bambooyard/bambooyard/internal/traffic"
)

func newHandler(token string) http.Handler {
	p := fake.NewPlatform()
	return operator.NewServer(operator.Options{
		Table: p, Objects: p.Objects(), Publisher: traffic.NewPublisher(), Metrics: metrics.NewRegistry(),
		Token: token, Now: time.Now, NewID: func() string { return "p" }, OnAccepted: func() {},
	}).Handler()
}

// serve returns the response of a handler to one request.
func serve(h http.Handler, method, path, token, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	h.ServeHTTP(w, r)
	return w
}

// Every registered route but the health checks must require the token.
func TestEveryEndpointRequiresToken(t *testing.T) {
	is := is.New(t)
	h := newHandler("s3cret")
	routes := h.(*gin.Engine).Routes()
	is.True(len(routes) > 10)
	for _, route := range routes {
		public := route.Path == "/healthz" || route.Path == "/readyz"
		for _, token := range []string{"", "wrong", "s3cre", "s3cret2"} {
			if code := serve(h, route.Method, route.Path, token, "").Code; (code == http.StatusUnauthorized) == public {
				t.Errorf("%s %s with token %q: status %d", route.Method, route.Path, token, code)
			}
		}
	}
	is.Equal(serve(h, http.MethodGet, "/v1/config", "s3cret", "").Code, http.StatusOK)
	is.Equal(serve(newHandler(""), http.MethodGet, "/v1/config", "", "").Code, http.StatusOK)
}

func TestInvalidChangesAreRefusedWithoutEffect(t *testing.T) {
	is := is.New(t)
	h := newHandler("")
	for _, c := range []struct {
		path, body string
		status     int
	}{
		{"/v1/config", "rules: {}", http.StatusBadRequest},
		{"/v1/config?based_on=-1", "rules: {}", http.StatusBadRequest},
		{"/v1/config?based_on=0", "rule: {}", http.StatusUnprocessableEntity},
		{"/v1/config?based_on=7", "rules: {}", http.StatusConflict},
		{"/v1/config?based_on=0", string(bytes.Repeat([]byte("#"), 33<<20)), http.StatusRequestEntityTooLarge},
	} {
		is.Equal(serve(h, http.MethodPut, c.path, "", c.body).Code, c.status)
	}
	is.Equal(serve(h, http.MethodPost, "/v1/config/rollback?to=1&based_on=0", "", "").Code, http.StatusNotFound)
	is.Equal(serve(h, http.MethodGet, "/v1/config/history", "", "").Body.String(), "[]")
}

// A document that takes more memory to decode than the daemon has for it is refused before.
func TestDocumentsAreBoundedByMemory(t *testing.T) {
	is := is.New(t)
	p := fake.NewPlatform()
	h := operator.NewServer(operator.Options{
		Table: p, Objects: p.Objects(), Publisher: traffic.NewPublisher(), Metrics: metrics.NewRegistry(),
		Now: time.Now, NewID: func() string { return "p" }, OnAccepted: func() {}, DocumentMemoryBytes: 1 << 20,
	}).Handler()
	small := "inventory: {regions: []}\n"
	is.Equal(serve(h, http.MethodPut, "/v1/config?based_on=0", "", small).Code, http.StatusOK)
	large := small + "rules: {members: [" + strings.Repeat("{},", 1000) + "]}\n"
	is.Equal(serve(h, http.MethodPut, "/v1/config?based_on=1", "", large).Code, http.StatusRequestEntityTooLarge)
}
