// Package sharesettings reads the settings of a run of the share rig: its nodes, accounts and traffic.
package sharesettings
