// Package prefix computes the chained block hashes that engines, agents and gateways
// use to identify prompt prefixes.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the estimated number of prompt bytes per token, used before an
	// engine has counted the tokens.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens = 1024
	// BlockBytes is the number of prompt bytes in one block.
	BlockBytes = BlockTokens * BytesPerToken
	// MaxBlocks bounds the length of a chain that is sent with a request.
	MaxBlocks = 64
)

// Chain returns the hashes of the complete leading blocks of text, at most maxBlocks of
// them (0: all). Each hash covers its block and all blocks before it. The salt
// separates models and workspaces.
func Chain(salt string, text []byte, maxBlocks int) []uint64 {
	n := len(text) / BlockBytes
	if maxBlocks > 0 && n > maxBlocks {
		n = maxBlocks
	}
	out := make([]uint64, 0, n)
	prev := xxhash.Sum64String(salt)
	var seed [8]byte
	for i := range n {
		binary.LittleEndian.PutUint64(seed[:], prev)
		digest := xxhash.New()
		_, _ = digest.Write(seed[:])
		_, _ = digest.Write(text[i*BlockBytes : (i+1)*BlockBytes])
		prev = digest.Sum64()
		out = append(out, prev)
	}
	return out
}

// Tokens estimates the number of tokens in a prompt of n bytes.
func Tokens(n int) uint64 {
	return uint64((n + BytesPerToken - 1) / BytesPerToken)
}
