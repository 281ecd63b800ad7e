// Package bucketledger describes a client account's bucket, as a leader hands it over to the next one.
package bucketledger
