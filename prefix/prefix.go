// Package prefix computes the chained block hashes by which engines, agents
// and gateways name the leading parts of prompts.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the estimate of prompt bytes per token used before an
	// engine has counted.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one cached block.
	BlockTokens = 1024
	// BlockBytes is the number of prompt bytes in one block.
	BlockBytes = BlockTokens * BytesPerToken
	// MaxBlocks bounds the length of a chain that travels with a request.
	MaxBlocks = 64
)

// Chain returns the hash of each whole leading block of text, each hash
// covering the block and all blocks before it; at most max blocks (0: all).
// The salt separates models and workspaces.
func Chain(salt string, text []byte, max int) []uint64 {
	n := len(text) / BlockBytes
	if max > 0 && n > max {
		n = max
	}
	out := make([]uint64, 0, n)
	prev := xxhash.Sum64String(salt)
	var seed [8]byte
	for i := range n {
		binary.LittleEndian.PutUint64(seed[:], prev)
		d := xxhash.New()
		_, _ = d.Write(seed[:])
		_, _ = d.Write(text[i*BlockBytes : (i+1)*BlockBytes])
		prev = d.Sum64()
		out = append(out, prev)
	}
	return out
}

// Tokens estimates the tokens of a prompt of n bytes.
func Tokens(n int) uint64 {
	return uint64((n + BytesPerToken - 1) / BytesPerToken)
}
