// Package settings reads the two kinds of TOML file that azurestair uses: the
// settings of one process and the fleet configuration that an operator submits.
//
// A file is checked as a whole. Each fault is reported with the file, the line,
// the key and what is allowed, so that one run shows everything that has to be
// corrected. Keys that the code does not know are faults, because a misspelt
// key would otherwise leave its default in effect without notice.
package settings
