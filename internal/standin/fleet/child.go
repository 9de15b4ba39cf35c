package fleet

import "os"

// Child reports whether this process is a daemon started by a test, so that
// TestMain must call Main.
func Child() bool { return os.Getenv(daemonEnv) != "" }
