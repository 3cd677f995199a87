// Package weightedservice describes the weight of one service in a traffic split.
package weightedservice
