package claim

// TurnOff turns a rule of the protocol off.
func TurnOff(m *Member, guard string) {
	switch guard {
	case "unanimity":
		m.off.noUnanimity = true
	case "hand-over":
		m.off.noHandOver = true
	case "loading":
		m.off.noLoading = true
	case "survivor":
		m.off.noSurvivor = true
	case "tokens":
		m.off.noTokens = true
	case "roster-version":
		m.off.noVersion = true
	}
}
