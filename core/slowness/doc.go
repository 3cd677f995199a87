// Package slowness scores how much slower than its peers a target currently answers.
package slowness
