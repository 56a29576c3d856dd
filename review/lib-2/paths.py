"""Paths and helpers that the cases of the second review share."""

import datetime
import os
import pathlib
import sys

REVIEW = pathlib.Path(__file__).resolve().parent.parent
ROOT = REVIEW.parent
BINARIES = ROOT / "target" / "bin"
STAND_INS = ROOT / "tests" / "platform" / "processes"
sys.path.insert(0, str(STAND_INS))

BROKEN, HELD, NOT_RUN = 1, 0, 2


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, case):
        self.file = open(REVIEW / case / "record.txt", "w", encoding="utf-8")
        self.line(f"started {datetime.datetime.now(datetime.timezone.utc):%Y-%m-%d %H:%M:%S} UTC, "
                  f"disruption {'on' if has_trouble() else 'off'}")

    def line(self, text):
        self.file.write(text + "\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def run(main):
    """Ends the process with the exit code of the case; a failure of the case itself is reported as 2."""
    try:
        code = main()
    except Exception as error:  # The case could not run.
        print(f"the case could not run: {error!r}", flush=True)
        code = NOT_RUN
    sys.stdout.flush()
    os._exit(code)
