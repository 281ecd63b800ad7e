// Package contactreply describes the leader's answer to a contact message.
package contactreply
