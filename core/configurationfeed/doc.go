// Package configurationfeed follows the configuration that the operators write into the platform's store.
//
// Versions come from the store or from another node and are only ever taken in rising order. A store that is away
// costs nothing but news: the version in force stays.
package configurationfeed
