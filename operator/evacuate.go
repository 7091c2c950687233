package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/ledgepin/ledgepin/fleet"
)

func (s *server) listEvacuated(c echo.Context) error {
	k, err := s.control()
	if err != nil {
		return err
	}
	zones, err := k.EvacuatedZones()
	if err != nil {
		return err
	}
	if zones == nil {
		zones = []fleet.EvacuatedZone{}
	}
	return c.JSON(http.StatusOK, zones)
}

// evacuate starts or finishes the evacuation of a zone, and answers with the zones that
// are evacuated afterwards according to this replica.
func (s *server) evacuate(c echo.Context, finished bool) error {
	k, err := s.control()
	if err != nil {
		return err
	}
	if err := k.Evacuate(c.Request().Context(), c.Param("zone"), finished); err != nil {
		return err
	}
	return s.listEvacuated(c)
}
