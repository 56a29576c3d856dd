"""An entry is stopped by SIGTERM while it relays streams whose engines are silent once for less than two seconds."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from small_site import GRACE_SECONDS, Client, Site, exchange, main  # noqa: E402

CALLERS = 4
USUAL = 2.0  # Seconds of the streams before.
# The requester leaves after a gap of two seconds; the engine is silent for less.
REQUESTER_GAP, PAUSE = 2.0, 1.9
EVENTS_BEFORE, EVENTS = 35, 45
SIGTERM_AFTER = 0.5  # The requests are sent before the SIGTERM.


def stream(site, request, results):
    body = b"pause %.1f %d %.1f" % (EVENTS * 0.1, EVENTS_BEFORE, PAUSE)
    client = Client(site, 0, timeout=REQUESTER_GAP)
    try:
        site.note("sent", request=request)
        sent = time.monotonic()
        client.send(Client.head(request, "/streams/s", len(body)) + body)
        status, _, events, complete = client.read_answer()
    except OSError:
        return
    finally:
        client.close()
    ended = time.monotonic()
    count = events.count(b"data:")
    site.note("answered", request=request, status=status, complete=complete, events=count)
    results.append((request, sent, ended, status, complete, count))


def run(record, trouble):
    with Site(record, entries=2, engines=6) as site:
        warm = [threading.Thread(target=lambda n=n: [exchange(site, 0, f"usual-{n}-{i}", "/streams/s",
                                                              b"work %.1f" % USUAL) for i in range(4)])
                for n in range(8)]
        for thread in warm:
            thread.start()
        for thread in warm:
            thread.join()
        results = []
        threads = [threading.Thread(target=stream, args=(site, f"long-{number}", results))
                   for number in range(CALLERS)]
        for thread in threads:
            thread.start()
        time.sleep(SIGTERM_AFTER)
        begin = time.monotonic()
        if trouble:
            site.signal_entry(0, signal.SIGTERM)
        for thread in threads:
            thread.join()
        failures = []
        for request, sent, ended, status, complete, count in sorted(results):
            if not complete and ended < begin + GRACE_SECONDS:
                failures.append(f"{request} was passed on and its channel closed {ended - begin:.2f} s after the "
                                f"SIGTERM with {count} of {EVENTS} events, {ended - sent:.2f} s after it was sent")
        summary = f"{len(results)} streams, {sum(result[4] for result in results)} whole"
        return failures, summary


if __name__ == "__main__":
    sys.exit(main(run, FOLDER))
