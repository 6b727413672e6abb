// Package crowd checks in its tests that a process survives crowds of
// misbehaving clients: the process lives, its memory and descriptors stay within
// those of its machine, and an ordinary request is answered afterwards. The
// tests run one at a time and check no times.
package crowd
