"""The job model shared by all instances: values, validation, records and replicas.

This package opens no sockets and makes no placement decisions; placement is the task
of `plantainyard.dispatch`.
"""

from plantainyard.batch.checks import validate_submission
from plantainyard.batch.pending import Pending, count_pending, sum_pending
from plantainyard.batch.records import (
    decode_progress,
    decode_submission,
    encode_progress,
    encode_submission,
)
from plantainyard.batch.replica import (
    JobView,
    Replica,
    apply_record,
    describe_state,
)
from plantainyard.batch.values import (
    FinalStates,
    JobState,
    Resources,
    Step,
    StepProgress,
    Submission,
    TaskProgress,
)

__all__ = [
    "FinalStates",
    "JobState",
    "JobView",
    "Replica",
    "Resources",
    "Step",
    "StepProgress",
    "Submission",
    "TaskProgress",
    "apply_record",
    "Pending",
    "sum_pending",
    "count_pending",
    "decode_progress",
    "decode_submission",
    "describe_state",
    "encode_progress",
    "encode_submission",
    "validate_submission",
]
