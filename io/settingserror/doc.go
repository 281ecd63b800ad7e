// Package settingserror holds the error that lists every problem of a settings file.
package settingserror
