package fleet

import "os"

// Child reports whether this process is a daemon that a test has started, so
// that TestMain must call Main.
func Child() bool { return os.Getenv(daemonEnv) != "" }
