package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/ledgepin/ledgepin/fault"
)

// Raise is the body of a POST to /v1/upgrade/raise.
type Raise struct {
	Who string `json:"who"`
}

func (s *server) upgrade(c echo.Context) error {
	k, err := s.control()
	if err != nil {
		return err
	}
	u, err := k.UpgradeStatus()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, u)
}

// raise answers with the resulting state: the version was raised, or Blockers gives the reasons
// why it was not.
func (s *server) raise(c echo.Context) error {
	k, err := s.control()
	if err != nil {
		return err
	}
	var in Raise
	if err := c.Bind(&in); err != nil {
		return fault.Wrap(err, fault.BadRequest, fault.StepParse, "operator")
	}
	if len(in.Who) > maxNoteBytes {
		return fault.New(fault.BadRequest, fault.StepParse, "operator", "want a short value for who")
	}
	u, err := k.RaiseVersion(c.Request().Context(), in.Who)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, u)
}
