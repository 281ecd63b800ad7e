// Package settingsproblem describes one problem of a settings file.
package settingsproblem
