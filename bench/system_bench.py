#!/usr/bin/env python3
"""Measures added latency, requests per core and memory per open stream of real processes.

The baseline of the latency is a direct connection to the engine.
"""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts"))

from installation import ADDRESS, Installation  # noqa: E402

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def report(name, value, unit, size, baseline=None, baseline_name="", goal=""):
    line = {"name": name, "value": round(value, 4), "unit": unit, "size": size}
    if baseline is not None:
        line.update(baseline=round(baseline, 4), baseline_name=baseline_name)
    if goal:
        line["goal"] = goal
    print(json.dumps(line), flush=True)


def run_load(installation, ports, rate, seconds, key, *extra):
    entries = ",".join(f"{ADDRESS}:{port}" for port in ports)
    output = subprocess.run(
        [installation.binaries / "chivewinch-load", "--entries", entries, "--rate", str(rate), "--duration",
         f"{seconds}s", "--model", "assistant", "--model-key", key, "--stream-share", "1", "--seed", "7", "--output",
         "json", *extra], capture_output=True, text=True, timeout=seconds + 60, check=False).stdout
    result = json.loads(output)
    if not result["acceptable"]:
        raise RuntimeError(f"load test reported incomplete or wrong answers: {result['samples']}")
    return result


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_kib(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise RuntimeError(f"/proc/{process.pid}/status has no VmRSS line")


def parts(installation):
    entry = installation.entries[0]
    engine = next(target for target in installation.targets if target["pool"] == "assistant")
    return entry, engine, installation.processes[entry[0]], installation.processes[f"agent-{engine['id']}"]


def measure_latency(installation):
    entry, engine, _, _ = parts(installation)
    tokens = ("--min-tokens", "16", "--max-tokens", "16")
    direct = run_load(installation, [engine["port"]], 50, 10, "", *tokens)
    through = run_load(installation, [entry[2]], 50, 10, "kilat-lilin-key", *tokens)
    for field, name in (("first_token_ms", "first token"), ("whole_ms", "whole answer"), ("between_tokens_ms", "between tokens")):
        for quantile in ("p50", "p99"):
            report(f"latency, {name} {quantile}", through[field][quantile], "ms", 50, direct[field][quantile],
                   "direct to the engine")
            report(f"latency ratio, {name} {quantile}", through[field][quantile] / direct[field][quantile],
                   "ratio to direct", 50)


def measure_throughput(installation):
    entry, _, entry_process, agent_process = parts(installation)
    for rate in (200, 500, 1000):
        before = cpu_seconds(entry_process), cpu_seconds(agent_process)
        result = run_load(installation, [entry[2]], rate, 8, "kilat-lilin-key", "--min-tokens", "8", "--max-tokens", "8",
                          "--max-tries", "1")
        spent = cpu_seconds(entry_process) - before[0], cpu_seconds(agent_process) - before[1]
        report("requests per entry core", result["completed"] / spent[0], "requests/s", rate)
        report("requests per agent core", result["completed"] / spent[1], "requests/s", rate)
        report("tokens per entry core", result["tokens"] / spent[0], "tokens/s", rate)
        report("completed share", result["completed"] / result["requests"], "share", rate)


def open_streams(port, count):
    """Opens connections, each with one running stream."""
    body = json.dumps({"model": "assistant", "stream": True, "max_tokens": 100000,
                       "messages": [{"role": "user", "content": "memory"}]})
    connections = []
    for number in range(count):
        text = body.replace("memory", f"memory {number}")
        connection = socket.create_connection((ADDRESS, port), timeout=5)
        connection.sendall(f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer kilat-lilin-key\r\n"
                           f"X-Deadline-Ms: 600000\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode())
        connections.append(connection)
    return connections


def measure_memory(installation):
    """Measures the memory per stream that flow control allows if the callers read nothing."""
    entry, _, entry_process, agent_process = parts(installation)
    base = memory_kib(entry_process), memory_kib(agent_process)
    for count in (50, 100, 200):
        connections = open_streams(entry[2], count)
        time.sleep(12)
        used = memory_kib(entry_process), memory_kib(agent_process)
        report("entry memory per open stream, callers that do not read", (used[0] - base[0]) / count, "KiB", count)
        report("agent memory per open stream, callers that do not read", (used[1] - base[1]) / count, "KiB", count)
        for connection in connections:
            connection.close()
        time.sleep(3)


def main():
    with tempfile.TemporaryDirectory(prefix="chivewinch-bench-") as folder:
        plain = Installation(f"{folder}/plain", zones=("zone-a",), entries_per_zone=1,
                             engine_flags=("--token-interval", "5ms"), capacity=64)
        fast = Installation(f"{folder}/fast", zones=("zone-a",), entries_per_zone=1,
                            engine_flags=("--token-interval", "1ms"), capacity=256)
        for installation, measurements in ((plain, (measure_latency,)), (fast, (measure_throughput, measure_memory))):
            try:
                installation.start()
                for measure in measurements:
                    measure(installation)
            finally:
                installation.stop()


if __name__ == "__main__":
    main()
