//go:build race

package fleettest

const raceEnabled = true
