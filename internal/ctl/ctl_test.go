package ctl

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestExitCodes guards against exit codes with which a script takes a refused
// document, an unknown result or a usage error for success.
func TestExitCodes(t *testing.T) {
	replies := map[string]struct {
		status int
		body   string
	}{
		"accepted": {http.StatusOK, `{"result":"accepted","id":"x","revision":1,"hash":"h"}`},
		"refused":  {http.StatusConflict, `{"result":"refused","reason":"stale base"}`},
		"unknown":  {http.StatusAccepted, `{"result":"unknown","id":"x"}`},
		"invalid":  {http.StatusUnprocessableEntity, `{"result":"invalid","errors":["name: missing"]}`},
		"token":    {http.StatusUnauthorized, `{"error":"no valid token"}`},
		"text":     {http.StatusBadGateway, `bad gateway`},
	}
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		w.WriteHeader(replies[name].status)
		_, _ = io.WriteString(w, replies[name].body)
	}))
	defer host.Close()
	unreachable := httptest.NewServer(nil)
	unreachable.Close()
	for _, c := range []struct {
		args string
		code int
		text string
	}{
		{"document apply -base 0 -admin HOST/accepted -", ExitOK, "result=accepted"},
		{"document apply -base 0 -admin HOST/refused -", ExitFailed, "stale base"},
		{"document apply -base 0 -admin HOST/invalid -", ExitFailed, "name: missing"},
		{"document apply -base 0 -admin HOST/unknown -", ExitUnknown, "result=unknown id=x"},
		{"document apply -base 0 -admin HOST/token -", ExitFailed, "no valid token"},
		{"document apply -base 0 -admin HOST/text -", ExitFailed, "status 502"},
		{"document apply -base 0 -admin GONE -", ExitUnknown, "did not answer"},
		{"document apply -admin HOST/accepted -", ExitUsage, "-base"},
		{"document status -admin HOST/unknown x", ExitFailed, "status 202"},
		{"document validate -", ExitFailed, "result=invalid"},
		{"status -admin GONE", ExitFailed, "connection refused"},
		{"status -output xml", ExitUsage, "-output"},
		{"replay", ExitUsage, "no trace"},
		{"soak -hosts 1", ExitUsage, "-hosts is 1"},
		{"soak -count 0", ExitUsage, "-count is 0"},
		{"nothing", ExitUsage, "unknown command"},
		{"help", ExitOK, "usage"},
	} {
		var out bytes.Buffer
		args := strings.Fields(strings.NewReplacer("HOST", host.URL, "GONE", unreachable.URL).Replace(c.args))
		code := Run(context.Background(), args, strings.NewReader("name: x"), &out, &out)
		if code != c.code || !strings.Contains(out.String(), c.text) {
			t.Errorf("%s: exit code %d, want %d with %q: %s", c.args, code, c.code, c.text, out.String())
		}
	}
}
