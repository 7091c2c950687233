package standin

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// Call sends a JSON body to a listener of the system, as operators, backend servers and the
// platform's balancer do, and returns the status and body of the answer.
func Call(ctx context.Context, client *http.Client, method, url, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
