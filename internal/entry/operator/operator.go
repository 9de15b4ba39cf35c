// Package operator implements the HTTP API for operators.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
)

// Configuration reads and edits the configuration.
type Configuration interface {
	Current() config.Head
	Check(e config.Edit, now time.Time) (config.Document, error)
	Apply(ctx context.Context, e config.Edit, now time.Time) (config.Head, error)
	Effective(q config.Scope, now time.Time) config.Effective
	History(ctx context.Context, limit int) ([]config.Change, error)
}

// View reads the status of the fleet.
type View interface {
	Fleet() Fleet
	Targets() Targets
	Accounts() []gang.AccountStatus
	Spread(version uint64) Spread
	Status() Status
}

// Server handles operators' calls. Its fields must be set before use.
type Server struct {
	// Token is the bearer token of operators. A server without one refuses all
	// calls.
	Token  string
	Config Configuration
	View   View
	Meter  *meter.Meter
}

// Register adds the middleware and the routes of the API to e.
func (s *Server) Register(e *echo.Echo) {
	e.Use(s.authorize)
	e.GET("/metrics", s.metrics)
	e.GET("/v1/config", s.viewConfig)
	e.POST("/v1/config", s.applyConfig)
	e.POST("/v1/config/check", s.checkConfig)
	e.GET("/v1/config/effective", s.effective)
	e.GET("/v1/config/log", s.log)
	e.GET("/v1/config/spread", s.spread)
	e.GET("/v1/daemon", func(c echo.Context) error { return c.JSON(http.StatusOK, s.View.Status()) })
	e.GET("/v1/fleet", func(c echo.Context) error { return c.JSON(http.StatusOK, newFleetAnswer(s.View.Fleet())) })
	e.GET("/v1/targets", func(c echo.Context) error { return c.JSON(http.StatusOK, newTargetsAnswer(s.View.Targets())) })
	e.GET("/v1/accounts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.accounts()) })
}

func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		got, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok || s.Token == "" || subtle.ConstantTimeCompare([]byte(got), []byte(s.Token)) != 1 {
			return fault.New(fault.Unauthorized, "the token is missing or wrong")
		}
		return next(c)
	}
}

func (s *Server) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
	return s.Meter.WriteText(c.Response())
}

func (s *Server) viewConfig(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Config.Current())
}

func (s *Server) checkConfig(c echo.Context) error {
	var in CheckBody
	if err := jsonhttp.Decode(c, &in); err != nil {
		return err
	}
	if _, err := s.Config.Check(config.Edit{File: in.File, TOML: in.TOML}, time.Now()); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) effective(c echo.Context) error {
	q := config.Scope{
		DataCentre: c.QueryParam("data_centre"), Account: c.QueryParam("account"),
		Target: c.QueryParam("target"), Kind: c.QueryParam("kind"),
	}
	for _, f := range []struct{ field, v string }{
		{"data_centre", q.DataCentre}, {"account", q.Account}, {"target", q.Target}, {"kind", q.Kind},
	} {
		if !utf8.ValidString(f.v) {
			return fault.WithField(fault.BadRequest, f.field, "is not UTF-8")
		}
	}
	return c.JSON(http.StatusOK, s.Config.Effective(q, time.Now()))
}

func (s *Server) log(c echo.Context) error {
	limit, err := queryNumber(c, "limit", DefaultLogLimit)
	if err != nil {
		return err
	}
	changes, err := s.Config.History(c.Request().Context(), int(min(limit, config.MaxHistory)))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Log{Changes: changes})
}

// DefaultLogLimit is the number of changes that a read of the log returns
// unless the call sets a limit.
const DefaultLogLimit = 50

func (s *Server) spread(c echo.Context) error {
	version, err := queryNumber(c, "version", s.Config.Current().Version)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, s.View.Spread(version))
}

// queryNumber returns the value of a numeric query parameter, or defaultValue if
// the parameter is missing.
func queryNumber(c echo.Context, name string, defaultValue uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.WithField(fault.BadRequest, name, "%q is not a whole number", text)
	}
	return n, nil
}

func (s *Server) applyConfig(c echo.Context) error {
	var e config.Edit
	if err := jsonhttp.Decode(c, &e); err != nil {
		return err
	}
	if err := checkEdit(e); err != nil {
		return err
	}
	h, err := s.Config.Apply(c.Request().Context(), e, time.Now())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, h)
}

// maxFieldBytes bounds the ID, the author and the reason of an edit.
const maxFieldBytes = 1024

func checkEdit(e config.Edit) error {
	fields := []struct{ field, v string }{{"edit_id", e.EditID}, {"author", e.Author}, {"reason", e.Reason}}
	for _, f := range fields {
		if strings.TrimSpace(f.v) == "" {
			return fault.WithField(fault.BadRequest, f.field, "is missing")
		}
		if len(f.v) > maxFieldBytes {
			return fault.WithField(fault.BadRequest, f.field, "is over %d bytes", maxFieldBytes)
		}
	}
	return nil
}
