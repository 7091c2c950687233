package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// buildCommit builds ledgepin at a commit of the repository that contains folder. The returned
// function removes the binary. The build uses a clone in a scratch folder, so that the repository's
// working tree and its list of worktrees stay unchanged.
func buildCommit(ctx context.Context, folder, commit string) (binary string, remove func(), err error) {
	scratch, err := os.MkdirTemp("", "soak-production-")
	if err != nil {
		return "", nil, err
	}
	removeScratch := func() { _ = os.RemoveAll(scratch) }
	defer func() {
		if err != nil {
			removeScratch()
		}
	}()
	top, err := output(ctx, folder, "git", "rev-parse", "--show-toplevel")
	if err != nil {
		return "", nil, fmt.Errorf("--production requires a git repository: %w", err)
	}
	rev, err := output(ctx, folder, "git", "rev-parse", "--verify", "--end-of-options", commit+"^{commit}")
	if err != nil {
		return "", nil, fmt.Errorf("the repository has no commit %q: %w", commit, err)
	}
	source := filepath.Join(scratch, "source")
	if _, err := output(ctx, folder, "git", "clone", "--quiet", "--shared", "--no-checkout", top, source); err != nil {
		return "", nil, err
	}
	if _, err := output(ctx, source, "git", "checkout", "--quiet", "--detach", rev); err != nil {
		return "", nil, err
	}
	binary = filepath.Join(scratch, "ledgepin")
	if _, err := output(ctx, source, "go", "build", "-o", binary, "./cmd/ledgepin"); err != nil {
		return "", nil, fmt.Errorf("commit %s does not build: %w", commit, err)
	}
	return binary, removeScratch, os.RemoveAll(source)
}

// output runs a command in a folder and returns its standard output. An error includes the
// command's standard error.
func output(ctx context.Context, folder, name string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = folder
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return "", fmt.Errorf("%s %s: %w: %s", name, args[0], err, strings.TrimSpace(stderr.String()))
	}
	return strings.TrimSpace(string(out)), nil
}
