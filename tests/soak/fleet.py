"""Starts entries and agents as processes, each with its own loopback addresses, and sends them signals."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import time

from proxy import Proxy

MESSAGE_PORT, HTTP_PORT, CALLER_PORT, READINESS_PORT, REPORT_PORT, STORE_PORT, TARGET_PORT = \
    7720, 9464, 8161, 8167, 8166, 8169, 8080
EXIT_TIMEOUT_S = 6.5  # the platform kills a process 6 s after requesting its stop


class Process:
    """An entry or agent process. Its peers reach it, and it reaches the store, through proxies that inject faults."""

    def __init__(self, fleet, number, role, zone):
        self.fleet, self.number, self.role, self.zone = fleet, number, role, zone
        self.name = f"{role}-{number}"
        self.host = f"127.{fleet.net}.2.{number}"  # the address on which the process itself listens
        self.public = f"127.{fleet.net}.1.{number}"  # the proxy address at which its peers reach it
        self.message_proxy = Proxy((self.host, MESSAGE_PORT))
        self.store_proxy = Proxy((f"127.{fleet.net}.0.1", STORE_PORT))
        self.settings_path = fleet.folder / f"{self.name}.json"
        self.child = None
        self.stopping = False  # whether it is being stopped or was killed on purpose; reset by start()
        self.graceful_stops = []  # (begin, end) of the stops that no other fault interrupted
        self.stop_interrupted = False  # whether another fault paused or killed it while it was stopping

    async def open(self):
        await self.message_proxy.start(self.public, MESSAGE_PORT)
        await self.store_proxy.start(f"127.{self.fleet.net}.3.{self.number}", STORE_PORT)
        self.write_settings()

    def write_settings(self):
        roles = {"entry": {"callers": f"{self.host}:{CALLER_PORT}", "readiness": f"{self.host}:{READINESS_PORT}"},
                 "agent": {"targets": f"{self.host}:{REPORT_PORT}"}}
        # Only the hosts are used; the process takes the port of its own endpoint.
        contacts = [f"127.{self.fleet.net}.1.{number}:{REPORT_PORT}" for number in self.fleet.contacts]
        self.settings_path.write_text(json.dumps({
            "zone": self.zone, "endpoint": f"tcp://{self.public}:{MESSAGE_PORT}",
            "bind": f"tcp://{self.host}:{MESSAGE_PORT}", "log": {"file": "-"},
            "http": {"address": self.host, "port": HTTP_PORT},
            "dispatch": {**roles[self.role], "store": f"127.{self.fleet.net}.3.{self.number}:{STORE_PORT}",
                         "contacts": contacts}}))

    def start(self):
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        command = [self.fleet.binary, f"dispatch-{self.role}", "--settings", str(self.settings_path)]
        self.child = subprocess.Popen(command, stdout=log, stderr=log)
        self.stopping = self.stop_interrupted = False
        log.close()

    def running(self):
        return self.child is not None and self.child.poll() is None

    def available(self):
        """Returns whether the process runs and no fault is stopping it."""
        return self.running() and not self.stopping

    def send(self, number):
        self.stop_interrupted = self.stop_interrupted or number in (signal.SIGSTOP, signal.SIGKILL)
        if self.running():
            self.child.send_signal(number)

    async def slow_down(self, run_s, pause_s):
        """Lets the process run only for `run_s` between two pauses, until this task is cancelled."""
        child = self.child
        try:
            while child.poll() is None:
                child.send_signal(signal.SIGSTOP)
                await asyncio.sleep(pause_s)
                child.send_signal(signal.SIGCONT)
                await asyncio.sleep(run_s)
        finally:
            child.send_signal(signal.SIGCONT)

    async def stop(self):
        """Requests a graceful stop.

        Returns a description of a late exit or a non-zero exit code, otherwise None. An exit during which another
        fault paused or killed the process is not judged.
        """
        self.stopping = True
        self.stop_interrupted = False
        begin = time.monotonic()
        self.send(signal.SIGTERM)
        while self.running() and time.monotonic() - begin < EXIT_TIMEOUT_S:
            await asyncio.sleep(0.02)
        stop_interrupted = self.stop_interrupted
        if not stop_interrupted:
            self.graceful_stops.append((begin, time.monotonic()))
        if self.running():
            await self.kill()
            return None if stop_interrupted else f"{self.name} did not exit within {EXIT_TIMEOUT_S} s"
        return None if stop_interrupted or self.child.returncode == 0 else \
            f"{self.name} exited with code {self.child.returncode}"

    async def kill(self):
        self.stopping = True
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def memory_mb(self):
        pages = int(pathlib.Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


# All entry and agent processes.
#
# The third octet of the loopback addresses 127.NET.x.NUMBER tells their use: 0 the store, 1 the proxies to the
# processes, 2 the processes, 3 the proxies from the processes to the store, 4 the targets.
class Fleet:
    def __init__(self, binary, folder, net, entries, agents, zones):
        self.binary, self.folder, self.net = binary, folder, net
        # Numbers of the first three agents, which every process contacts to find the entries.
        self.contacts = [entries + number for number in range(1, 4)]
        roles = ["entry"] * entries + ["agent"] * agents
        self.processes = [Process(self, number + 1, role, zones[number % len(zones)])
                          for number, role in enumerate(roles)]
        self.entries = [process for process in self.processes if process.role == "entry"]
        self.agents = [process for process in self.processes if process.role == "agent"]

    async def open(self):
        for process in self.processes:
            await process.open()
            process.start()

    def restart_exited(self):
        """Restarts the processes that exited unexpectedly, and returns them."""
        exited = [process for process in self.processes
                if process.child is not None and not process.running() and not process.stopping]
        for process in exited:
            process.start()
        return exited
