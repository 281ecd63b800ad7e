// Package scope distinguishes the inputs that a module gets from outside from those that its own effects cause.
package scope
