// Package crowd has tests that start the daemon and the stand-ins as processes on loopback
// addresses, and let crowds of misbehaving clients connect to them. They check that the process
// lives, that its memory and descriptors stay within its limits, and that an ordinary request is
// answered during and after the crowd. They check neither times nor shares of served requests.
// scripts/test.sh runs them alone, one after another.
package crowd
