// Package settings reads the two kinds of TOML file that azurestair uses: the
// settings of one process and the fleet configuration that an operator submits.
//
// A file is checked as a whole. Each error gives the file, the line, the key
// and the allowed values, so that one run reports everything that has to be
// corrected. An unknown key is an error, because a misspelt key would otherwise
// silently leave its default in effect.
package settings
