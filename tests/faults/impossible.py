"""Cells of the fault matrix that are impossible, with the reasons."""

from tests.faults.matrix import Fault, Row, cannot_happen

TARGET_ROWS = (Row.FIRST_BYTE, Row.MID_STREAM, Row.END)
LOG_FAULTS = (Fault.LOG_DOWN, Fault.LOG_SLOW, Fault.LOG_EXPIRED)
LIST_FAULTS = (Fault.LIST_DOWN, Fault.LIST_STALE)
TARGET_FAULTS = (Fault.TARGET_ERROR, Fault.TARGET_GARBAGE)
CONFIG_ROWS = (
    Row.CONFIG_APPEND,
    Row.CONFIG_READ_BACK,
    Row.CONFIG_PUSH,
    Row.CONFIG_SNAPSHOT,
)
RECORD_ROWS = (
    Row.JOB_BEGIN,
    Row.JOB_CHUNK,
    Row.JOB_CLOSE,
    Row.JOB_ACKNOWLEDGE,
    Row.RESULT_APPEND,
    Row.RESULT_READ,
    Row.JOB_CANCEL,
)

cannot_happen(
    TARGET_ROWS, LOG_FAULTS, "once a slot is granted an answer uses nothing of the log"
)
cannot_happen(
    TARGET_ROWS,
    LIST_FAULTS,
    "once a slot is granted an answer uses nothing of the VM list",
)
cannot_happen(
    CONFIG_ROWS, TARGET_FAULTS, "no target takes part in a change of configuration"
)
cannot_happen(RECORD_ROWS, TARGET_FAULTS, "no target takes part in this step")
cannot_happen(
    (Row.ADDRESS, Row.ADMISSION, Row.GRANT, Row.SLICE_TAKEOVER),
    Fault.LOG_EXPIRED,
    "the step reads only what the VM has in memory",
)
cannot_happen(
    (Row.ADDRESS, Row.GRANT, Row.SLICE_TAKEOVER, Row.PARTITION_TAKEOVER),
    Fault.TARGET_GARBAGE,
    "no target answers in this step",
)
cannot_happen(
    (Row.ADDRESS, Row.ADMISSION, Row.GRANT, *TARGET_ROWS, *RECORD_ROWS),
    Fault.OPERATOR_RACE,
    "the step changes no document; it works with the configuration of one moment",
)
cannot_happen(
    (Row.CONFIG_PUSH, Row.CONFIG_SNAPSHOT, Row.SLICE_TAKEOVER, Row.PARTITION_TAKEOVER),
    Fault.RESEND,
    "no client takes part in this step",
)
cannot_happen(
    Row.SHUTDOWN,
    Fault.LOG_EXPIRED,
    "what a leaving VM still serves reads nothing of the log; who takes over does, "
    "in the rows of the take-overs",
)
cannot_happen(
    (Row.CONFIG_APPEND, Row.CONFIG_READ_BACK),
    LIST_FAULTS,
    "an operator's command asks the log alone and reads no VM list",
)
cannot_happen(
    (Row.ITEM_CLAIM, Row.CALL),
    Fault.OPERATOR_RACE,
    "the step changes no document; it works with the configuration of one moment",
)
