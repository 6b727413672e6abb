package disk

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"github.com/fxamacker/cbor/v2"

	"azurestair.example/azurestair"
)

// maxSnapshotBytes limits the size of the snapshot file. The snapshot of a full
// ledger takes about 100 MB.
const maxSnapshotBytes azurestair.Bytes = 1 << 30

// snapshotHeader is the payload of the frame at the start of the snapshot file.
// The snapshot data follows the frame.
type snapshotHeader struct {
	Meta     azurestair.SnapshotMeta `cbor:"1,keyasint"`
	Size     azurestair.Bytes        `cbor:"2,keyasint"`
	Checksum uint32                  `cbor:"3,keyasint"`
}

func writeSnapshot(fs fileSystem, store storeID, meta azurestair.SnapshotMeta, data []byte) error {
	if azurestair.Bytes(len(data))+maxMetadataBytes > maxSnapshotBytes {
		return fmt.Errorf("%w: snapshot has %d bytes; allowed %d", azurestair.ErrTooLarge, len(data), maxSnapshotBytes-maxMetadataBytes)
	}
	h := snapshotHeader{Meta: meta, Size: azurestair.Bytes(len(data)), Checksum: crc32.Checksum(data, castagnoliTable)}
	payload, err := cbor.Marshal(h)
	if err != nil {
		return err
	}
	return writeAtomic(fs, snapshotName, seedForFile(store, 0).appendFrame(nil, 0, payload), data)
}

// readSnapshot returns the stored snapshot, or a zero SnapshotMeta if there is
// none.
func readSnapshot(fs fileSystem, store storeID) (azurestair.SnapshotMeta, []byte, error) {
	none := azurestair.SnapshotMeta{}
	data, err := fs.read(snapshotName, maxSnapshotBytes)
	if errors.Is(err, os.ErrNotExist) {
		return none, nil, nil
	}
	if err != nil {
		return none, nil, err
	}
	payload, next, ok := seedForFile(store, 0).readFrame(data, 0)
	if !ok {
		return none, nil, corruptError(snapshotName, 0, "checksum does not match")
	}
	var h snapshotHeader
	if err := cbor.Unmarshal(payload, &h); err != nil {
		return none, nil, corruptError(snapshotName, 0, err)
	}
	data = data[next:]
	if h.Size != azurestair.Bytes(len(data)) || h.Checksum != crc32.Checksum(data, castagnoliTable) {
		return none, nil, corruptError(snapshotName, next, "snapshot size or checksum does not match")
	}
	if err := validateSnapshotMeta(h.Meta); err != nil {
		return none, nil, corruptError(snapshotName, 0, err)
	}
	return h.Meta, data, nil
}

func validateSnapshotMeta(m azurestair.SnapshotMeta) error {
	if m.Index == 0 || m.Term == 0 {
		return fmt.Errorf("%w: snapshot without index or term", azurestair.ErrInvalid)
	}
	return m.Membership.Validate()
}
