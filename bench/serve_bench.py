#!/usr/bin/env python3
"""Measures entries and agents of a small installation on loopback while they stream answers; prints JSON lines.

The size is the request rate per entry in requests/s. The largest size covers the design load of one entry
(18,000 / 350); each agent of the model then serves 8.7 requests/s. Each answer has 211 tokens (3.8 million / 18,000).
The stand-in engine sends a token every 30 ms. CPU and memory are read as in bench/scale_bench.py, in the middle of each
run.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
import time

import scale_bench
from scale_bench import ADDRESS, ScaleInstallation, cpu_seconds, memory_mib, report

ENTRIES, ENGINES_PER_ZONE, CAPACITY = 3, 6, 128
RATES = (13, 26, 52)  # requests/s per entry
TOKENS = 211
TOKEN_INTERVAL_MS = 30
LOAD_SECONDS = 16
WARM_SECONDS, WINDOW_SECONDS = 8, 6
MODEL = "assistant"


def start_load(installation, rate):
    entries = ",".join(f"{ADDRESS}:{entry[2]}" for entry in installation.entries)
    command = [installation.binaries / "chivewinch-load", "--entries", entries, "--rate", str(rate * ENTRIES),
               "--duration", f"{LOAD_SECONDS}s", "--workers", "2", "--model", MODEL, "--model-key", "kilat-lilin-key",
               "--stream-share", "1", "--min-tokens", str(TOKENS), "--max-tokens", str(TOKENS), "--seed", "1",
               "--output", "json"]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def measure(installation, rate):
    load = start_load(installation, rate)
    time.sleep(WARM_SECONDS)
    groups = {"entry": installation.group("entry-"), "agent": installation.group(f"agent-{MODEL}")}
    before = {pid: cpu_seconds(pid) for pids in groups.values() for pid in pids}
    started = time.monotonic()
    time.sleep(WINDOW_SECONDS)
    after = {pid: cpu_seconds(pid) for pid in before}
    seconds = time.monotonic() - started
    for role, pids in groups.items():
        share = [100 * (after[pid] - before[pid]) / seconds for pid in pids]
        report(f"serve.{role}.cpu", sum(share) / len(share), "% of a core", rate)
        report(f"serve.{role}.memory", sum(memory_mib(pid) for pid in pids) / len(pids), "MiB", rate)
    output, _ = load.communicate(timeout=120)
    result = json.loads(output)
    report("serve.requests", result["requests"], "requests", rate)
    report("serve.completed_share", result["completed"] / result["requests"], "share", rate, goal="1")
    report("serve.acceptable", int(result["acceptable"]), "yes or no", rate, goal="1")
    report("serve.tokens_per_second", result["tokens"] / result["seconds"], "tokens/s", rate)
    for name, field, goal in (("first_token", "first_token_ms", "<= 950"),
                              ("between_tokens", "between_tokens_ms", "<= 36")):
        report(f"serve.{name}_p95", result[field]["p95"], "ms", rate, goal=goal)


def main():
    with tempfile.TemporaryDirectory(prefix="chivewinch-serve-") as folder:
        installation = ScaleInstallation(pathlib.Path(folder), entries_per_zone=1, engines_per_zone=ENGINES_PER_ZONE,
                                         capacity=CAPACITY,
                                         engine_flags=("--token-interval", f"{TOKEN_INTERVAL_MS}ms"))
        try:
            installation.start()
            time.sleep(scale_bench.SETTLE_SECONDS)
            for rate in RATES:
                measure(installation, rate)
        finally:
            installation.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
