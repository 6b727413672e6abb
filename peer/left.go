package peer

import (
	"context"
	"strconv"

	"google.golang.org/grpc/metadata"

	"azurestair.example/azurestair"
)

// leftKey is the metadata of a proposed claim that says how many milliseconds
// are left until its deadline.
const leftKey = "azurestair-left-ms"

// withLeft has calls carry the time that is left.
func withLeft(ctx context.Context, left azurestair.Millis) context.Context {
	if left <= 0 {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, leftKey, strconv.FormatInt(int64(left), 10))
}

// leftOf returns the time that is left by a call; zero if it does not say so.
func leftOf(ctx context.Context) azurestair.Millis {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get(leftKey)
	if len(values) != 1 {
		return 0
	}
	left, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || left < 0 || left > int64(azurestair.MaxTimeoutMs) {
		return 0
	}
	return azurestair.Millis(left)
}
