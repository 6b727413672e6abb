package peer

import (
	"context"
	"strconv"

	"google.golang.org/grpc/metadata"

	"azurestair.example/azurestair"
)

// timeLeftKey is the metadata key under which a proposed claim carries the
// milliseconds left until its deadline.
const timeLeftKey = "azurestair-left-ms"

// withTimeLeft returns a context whose calls carry the time left until a
// claim's deadline.
func withTimeLeft(ctx context.Context, left azurestair.Millis) context.Context {
	if left <= 0 {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, timeLeftKey, strconv.FormatInt(int64(left), 10))
}

// timeLeft returns the time left that an incoming call carries; zero if none.
func timeLeft(ctx context.Context) azurestair.Millis {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get(timeLeftKey)
	if len(values) != 1 {
		return 0
	}
	left, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || left < 0 || left > int64(azurestair.MaxTimeoutMs) {
		return 0
	}
	return azurestair.Millis(left)
}
