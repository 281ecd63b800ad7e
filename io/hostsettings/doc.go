// Package hostsettings holds the settings of a node on the users' platform, whose store holds the configuration and the
// rows of the members.
package hostsettings
