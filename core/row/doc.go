// Package row describes a row of the platform's transactional table service.
package row
