"""Opens the data folder of a control VM."""

import pathlib
import sys
import time

from sedgepin import _storage as storage
from sedgepin import events
from sedgepin import logs

_DATA_FOLDER_EXIT_STATUS = 4


def open_log(
    data_folder: str,
    lock: storage.FolderLock | None = None,
) -> tuple[storage.LogStore, storage.RecoveredState]:
    """Open the log in a folder, waiting while the disk is full.

    Later writes to a full disk raise ``storage.DiskFull``.  Logs the failure
    and exits with status 4 if the folder is in use, damaged, or written by a
    later version.
    """
    opened = storage.FolderDisk.open(pathlib.Path(data_folder), lock)
    if opened.is_err():
        _exit_with_failure(opened.unwrap_err().detail())
    disk = storage.RetryingDisk(
        opened.unwrap(), time.sleep, _log_disk_full, _log_disk_has_space
    )
    store = storage.LogStore(disk)
    recovered = store.open()
    if recovered.is_err():
        _exit_with_failure(recovered.unwrap_err().detail())
    disk.waits = False
    return store, recovered.unwrap()


def _log_disk_full(failure: str) -> None:
    logs.write(events.DISK_FULL.line(failure=failure))


def _log_disk_has_space(seconds: float) -> None:
    logs.write(events.DISK_HAS_ROOM.line(seconds=round(seconds, 1)))


def _exit_with_failure(reason: str) -> None:
    logs.write(events.LOG_REFUSED.line(failure=reason))
    sys.exit(_DATA_FOLDER_EXIT_STATUS)
