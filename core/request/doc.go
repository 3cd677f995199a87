// Package request describes one caller's request as the decisions need it.
package request
