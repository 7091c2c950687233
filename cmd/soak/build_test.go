package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// newRepository creates a repository with two commits, of which the second does not build, and
// returns its folder.
func newRepository(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	command := filepath.Join(dir, "cmd", "ledgepin")
	assert.NilError(t, os.MkdirAll(command, 0o750))
	write := func(name, text string) { assert.NilError(t, os.WriteFile(name, []byte(text), 0o600)) }
	git := func(args ...string) {
		cmd := exec.Command("git", append([]string{"-c", "user.name=n", "-c", "user.email=n@example.com", "-c", "commit.gpgsign=false"}, args...)...)
		cmd.Dir = dir
		out, err := cmd.CombinedOutput()
		assert.NilError(t, err, string(out))
	}
	write(filepath.Join(dir, "go.mod"), "module example.com/ledgepin\n\ngo 1.21\n")
	write(filepath.Join(command, "main.go"), "package main\n\nfunc main() { println(\"the first\") }\n")
	git("init", "--quiet")
	git("add", ".")
	git("commit", "--quiet", "-m", "first")
	write(filepath.Join(command, "main.go"), "package main\n\nfunc main() { wrong }\n")
	git("commit", "--quiet", "-a", "-m", "second")
	return dir
}

// TestBuildCommit checks that a commit other than the newest is built and that no files remain.
func TestBuildCommit(t *testing.T) {
	dir, scratch := newRepository(t), t.TempDir()
	t.Setenv("TMPDIR", scratch)
	binary, remove, err := buildCommit(t.Context(), filepath.Join(dir, "cmd"), "HEAD~1")
	assert.NilError(t, err)
	out, err := exec.Command(binary).CombinedOutput()
	assert.NilError(t, err)
	assert.Equal(t, string(out), "the first\n")
	remove()
	assertNoScratch(t, scratch)
}

// TestBuildCommitErrors checks the error messages of a failed build and that no files remain.
func TestBuildCommitErrors(t *testing.T) {
	dir, scratch := newRepository(t), t.TempDir()
	t.Setenv("TMPDIR", scratch)
	for _, c := range []struct{ folder, commit, want string }{
		{dir, "HEAD", "does not build"},
		{dir, "0123456789abcdef", `has no commit "0123456789abcdef"`},
		{dir, "--help", `has no commit "--help"`},
		{scratch, "HEAD", "--production requires a git repository"},
	} {
		_, _, err := buildCommit(t.Context(), c.folder, c.commit)
		assert.ErrorContains(t, err, c.want)
		assert.Assert(t, !strings.Contains(err.Error(), "panic"))
		assertNoScratch(t, scratch)
	}
}

// assertNoScratch fails the test if a build has left a scratch folder.
func assertNoScratch(t *testing.T, dir string) {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(dir, "soak-production-*"))
	assert.NilError(t, err)
	assert.Equal(t, len(found), 0, "%v", found)
}
