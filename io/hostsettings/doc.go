// Package hostsettings holds what a node learns at its start on hosts whose platform keeps configuration and members.
package hostsettings
