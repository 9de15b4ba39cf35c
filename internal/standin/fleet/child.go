package fleet

import "os"

// IsDaemonProcess reports whether this process is a daemon started by a test, so that
// TestMain must call Main.
func IsDaemonProcess() bool { return os.Getenv(daemonEnv) != "" }
