//go:build !race

package rig

const raceEnabled = false
