package jsonhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
)

func TestErrorKindMustMatchStatus(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
		want       fault.Kind
	}{
		{"sound", `{"kind":"overloaded"}`, 503, fault.Overloaded},
		{"unknown kind", `{"kind":"fine"}`, 503, fault.BadAnswer},
		{"kind of another status", `{"kind":"overloaded"}`, 500, fault.BadAnswer},
		{"ok as an error", `{"kind":"ok"}`, 500, fault.BadAnswer},
		{"no body", ``, 500, fault.BadAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer s.Close()
			err := (&jsonhttp.Client{BaseURL: s.URL}).Call(context.Background(), http.MethodGet, "/", nil, nil)
			is.New(t).Equal(fault.KindOf(err), c.want)
		})
	}
}

// serve starts s and returns a client for it.
func serve(t *testing.T, s *http.Server) *jsonhttp.Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return &jsonhttp.Client{BaseURL: "http://" + l.Addr().String()}
}

func TestConcurrentRequestsOverLimitAreRefused(t *testing.T) {
	limits := jsonhttp.Limits{MaxConcurrent: 1}
	entered, release := make(chan bool, 2), make(chan bool)
	var m meter.Meter
	e := jsonhttp.NewEcho(limits, &m)
	e.GET("/", func(echo.Context) error {
		entered <- true
		<-release
		return nil
	})
	e.Server.Handler = e
	plain := jsonhttp.NewServer(limits, &m, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- true
		<-release
	}))
	for _, s := range []*http.Server{e.Server, plain} {
		is := is.New(t)
		c := serve(t, s)
		get := func() error { return c.Call(context.Background(), http.MethodGet, "/", nil, nil) }
		first := make(chan error)
		go func() { first <- get() }()
		<-entered
		is.True(fault.Is(get(), fault.Overloaded))
		release <- true
		is.NoErr(<-first)
	}
	is.New(t).Equal(m.Count("refusal_overloaded"), int64(2))
}

func TestConnectionWithUnfinishedRequestIsClosed(t *testing.T) {
	is := is.New(t)
	var m meter.Meter
	c := serve(t, jsonhttp.NewServer(jsonhttp.Limits{ReadTimeout: 50 * time.Millisecond}, &m, http.NotFoundHandler()))
	conn, err := net.Dial("tcp", c.BaseURL[len("http://"):])
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost:")
	is.NoErr(err)
	_, err = io.ReadAll(conn)
	is.NoErr(err) // the server closes the connection
}
