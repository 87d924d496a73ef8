package journal

import (
	"fmt"

	"auburnpier/internal/domain"
)

// DeposedError reports that another owner took over the partition. Only groups that Append reported
// as durable before are durable.
type DeposedError struct {
	Partition domain.PartitionID
	Epoch     domain.Epoch
	// By is the group that the new owner wrote under the number of ours.
	By Group
}

func (e *DeposedError) Error() string {
	return fmt.Sprintf("partition %s: epoch %d is superseded by epoch %d of %s; stop using the partition",
		e.Partition, e.Epoch, e.By.Epoch, e.By.Owner)
}

// RingFullError reports that the ring has no free slot until a snapshot is written.
type RingFullError struct {
	Partition domain.PartitionID
	Number    uint64
	Covered   uint64
}

func (e *RingFullError) Error() string {
	return fmt.Sprintf("partition %s: group %d would overwrite a group after %d; write a snapshot first",
		e.Partition, e.Number, e.Covered)
}

// CorruptError reports that the stored state cannot be read.
type CorruptError struct {
	Partition domain.PartitionID
	Detail    string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("partition %s: stored state is damaged: %s; restore the keys below journal/ and snapshot/ from the platform's backup",
		e.Partition, e.Detail)
}
