// Package memberrow describes a member's row in the platform's table.
package memberrow
