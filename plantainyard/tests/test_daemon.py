"""Tests of the daemon as a process: its flags, exit codes and stop."""

import signal
import socket
import subprocess
import sys

import pytest

from plantainyard.settings.tests.test_load import MINIMAL
from standins.processes import start_daemon

TIMEOUT_S = 60
SHORT_INTERVALS = """
[requests]
request_max_s = 5
[intervals]
stop_s = 60
instances_s = 0.1
heartbeat_s = 0.1
"""
STOP_COUNT = 5


@pytest.fixture
def settings_file(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as unused:
        unused_port = unused.getsockname()[1]
    text = MINIMAL.replace(":7400", ":0").replace(":7401", ":0")
    text = text.replace(":7000", f":{unused_port}").replace(":7001", f":{unused_port}")
    path = tmp_path / "instance.toml"
    path.write_text(text + SHORT_INTERVALS)
    return path


def run_daemon(*arguments: str) -> "subprocess.CompletedProcess[str]":
    command = [sys.executable, "-m", "plantainyard.daemon", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)


def test_flags_and_settings_decide_the_exit_code(settings_file):
    assert run_daemon(f"--settings={settings_file}", "--check").returncode == 0
    usage = run_daemon("--help")
    assert (usage.returncode, usage.stdout[:6]) == (0, "usage:")
    assert run_daemon().returncode == 2
    assert run_daemon("--nope").returncode == 2
    settings_file.write_text(settings_file.read_text() + "tick_s = 'x'\nfoo = 1\n")
    rejected = run_daemon(f"--settings={settings_file}")
    assert rejected.returncode == 2
    assert [line.split(": ")[1] for line in rejected.stderr.splitlines()] == [
        "intervals.tick_s",
        "intervals.foo",
    ]


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_right_after_the_start_stops_gracefully(settings_file, number):
    """Guards against a stop signal that is ignored or that kills the process.

    The signal arrives just after the instance reports that it is ready, while the main
    thread is about to wait, or it is delivered to a library's thread. The instance then
    never stops, or dies with its callers' requests in progress.
    """
    for _ in range(STOP_COUNT):
        with start_daemon(settings_file) as child:
            child.process.send_signal(number)
            assert child.process.wait(TIMEOUT_S) == 0
