// Package operator serves the operators' listener.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dogwoodworks/dogwoodworks/internal/control/config"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/jsonhttp"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/gang"
	"github.com/dogwoodworks/dogwoodworks/internal/decide/route"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/vmlist"
)

// VMStatus is what one VM says of itself or of a peer.
type VMStatus struct {
	VMID          string `json:"vm_id"`
	DataCentre    string `json:"data_centre"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
	Planner       bool   `json:"planner"`
	ConfigVersion uint64 `json:"config_version"`
}

// Fleet is the status of the fleet as one VM sees it.
type Fleet struct {
	VMs      []VMStatus    `json:"vms"`
	Measures gang.Measures `json:"measures"`
}

// Targets is the answer to a list of targets.
type Targets struct {
	Runners []route.Runner `json:"runners"`
	Workers []vmlist.VM    `json:"workers"`
}

// Configuration edits the configuration.
type Configuration interface {
	Current() config.Head
	Apply(ctx context.Context, e config.Edit, now time.Time) (config.Head, error)
}

// View reads what the fleet is doing.
type View interface {
	Fleet() Fleet
	Targets() Targets
	Accounts() []gang.AccountStatus
}

// Server serves operators. Its fields are set before use.
type Server struct {
	// Token is the shared secret; a server without one refuses all calls.
	Token  string
	Config Configuration
	View   View
	Meter  *meter.Meter
}

// Register adds the operators' paths.
func (s *Server) Register(e *echo.Echo) {
	e.Use(s.authorize)
	e.GET("/metrics", s.metrics)
	e.GET("/v1/config", s.viewConfig)
	e.POST("/v1/config", s.applyConfig)
	e.GET("/v1/fleet", func(c echo.Context) error { return c.JSON(http.StatusOK, s.View.Fleet()) })
	e.GET("/v1/targets", func(c echo.Context) error { return c.JSON(http.StatusOK, s.View.Targets()) })
	e.GET("/v1/accounts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.View.Accounts()) })
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

func (s *Server) applyConfig(c echo.Context) error {
	var e config.Edit
	if err := jsonhttp.Decode(c, &e); err != nil {
		return err
	}
	required := []struct{ field, v string }{{"edit_id", e.EditID}, {"author", e.Author}, {"reason", e.Reason}}
	for _, r := range required {
		if strings.TrimSpace(r.v) == "" {
			return fault.WithField(fault.BadRequest, r.field, "is missing")
		}
	}
	h, err := s.Config.Apply(c.Request().Context(), e, time.Now())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, h)
}
