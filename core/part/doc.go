// Package part describes the share of one service in the requests of a rule.
package part
