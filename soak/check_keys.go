package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of token limits, also written to the settings of a run.
const (
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 22000
)

// checkKeys checks that servers receive the organisation of each request but no API key, and that
// requests are refused for their key if and only if no table has held it.
func checkKeys(h *History) []string {
	var out []string
	organisations := map[string]string{}
	for _, q := range h.Requests {
		organisations[q.ID] = q.Organisation
		if (q.Status == http.StatusUnauthorized) && q.Organisation != unknownOrganisation {
			out = append(out, fmt.Sprintf("%s of %s was refused for its key", q.ID, q.Organisation))
		}
		if q.Status == http.StatusOK && q.Organisation == unknownOrganisation {
			out = append(out, fmt.Sprintf("%s has an unknown key and was answered", q.ID))
		}
	}
	for _, a := range h.Arrivals {
		organisation, ok := organisations[a.ID]
		if ok && a.Header.Get(headers.Organisation) != organisation {
			out = append(out, fmt.Sprintf("%s of %s arrived at %s with organisation %q", a.ID, organisation, a.Server, a.Header.Get(headers.Organisation)))
		}
		for name, values := range a.Header {
			if strings.Contains(strings.Join(values, " "), "key-") {
				out = append(out, fmt.Sprintf("%s received the key of %s in header %s", a.Server, a.ID, name))
			}
		}
	}
	return out
}

// checkLimits checks that an organisation that requests more than its limit stays within the bounds
// in each window.
func checkLimits(h *History) []string {
	hot := map[string]bool{}
	for _, q := range h.Requests {
		hot[q.ID] = q.Organisation == "hot"
	}
	var ran []time.Duration
	for _, a := range h.Arrivals {
		if a.Ran && !a.Continues && hot[a.ID] {
			ran = append(ran, a.At)
		}
	}
	slices.Sort(ran)
	maxTokens := (hotRate*quotaWindow.Seconds()+hotRate)*(1+quotaOvershoot) + quotaSlack
	for i, from := range ran {
		n := 0
		for _, at := range ran[i:] {
			if at < from+quotaWindow {
				n++
			}
		}
		if used := n * requestTokens; float64(used) > maxTokens {
			return []string{fmt.Sprintf("%d tokens were used in the window from %v, %.0f are allowed", used, from, maxTokens)}
		}
	}
	return nil
}
