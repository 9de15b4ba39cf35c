package planner

import (
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/standin/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
