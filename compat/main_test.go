package compat_test

import (
	"os"
	"testing"

	"github.com/ledgepin/ledgepin/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m)) }
