// Package storeposition orders what nodes read from the platform's store.
package storeposition
