// Package tableservice is the client of the platform's transactional table service, over the DynamoDB JSON protocol.
package tableservice
