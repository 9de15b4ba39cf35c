package entry_test

import (
	"os"
	"testing"

	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

func TestMain(m *testing.M) {
	world.FollowTestTime()
	os.Exit(m.Run())
}
