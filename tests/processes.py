"""Starts and stops real processes for tests."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from bergamotmill import core

WAIT_LIMIT_S = 60.0


def free_ports(count):
    """Returns currently unused TCP ports on the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class LocalCluster:
    """Routers and stand-ins for outside systems as processes on loopback."""

    def __init__(self, routers=2, engines=2):
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self.processes = {}
        ports = iter(free_ports(3 * routers + engines + 3))
        self.key_value, self.vm_list, self.service = (
            f"127.0.0.1:{next(ports)}" for _ in range(3)
        )
        self.routers = [
            {
                key: f"127.0.0.1:{next(ports)}"
                for key in ("front", "operators", "peer")
            }
            for _ in range(routers)
        ]
        self.engines = [f"127.0.0.1:{next(ports)}" for _ in range(engines)]

    def start(self):
        vms = [
            {
                "name": f"vm-{index}",
                "role": "router",
                "state": "live",
                "data_centre": "dc",
                "front": router["front"],
                "peer": router["peer"],
            }
            for index, router in enumerate(self.routers)
        ]
        self.start_standin("key-value", "key-value", self.key_value)
        self.start_standin(
            "vm-list", "vm-list", self.vm_list, "--vms", json.dumps(vms)
        )
        self.start_standin("service", "service", self.service)
        for index, address in enumerate(self.engines):
            self.start_engine(index, address)
        for index in range(len(self.routers)):
            self.start_router(index)
        self.wait_until(self.publish_first_note, "the first release")
        for index in range(len(self.routers)):
            self.wait_until(lambda index=index: self.is_ready(index), "ready")
        self.wait_until(self.routers_see_fleet, "engines")

    def start_engine(self, index, address):
        self.start_standin(
            f"engine-{index}",
            "engine",
            address,
            "--models",
            '{"m": "v1"}',
            "--token-ms",
            "50",
        )

    def start_standin(self, name, kind, address, *options):
        self.start_process(
            name,
            [
                sys.executable,
                "-m",
                "bergamotmill.standin",
                kind,
                "--address",
                address,
                *options,
            ],
        )

    def start_process(self, name, command):
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def start_router(self, index):
        settings = {
            "router": {
                "name": f"vm-{index}",
                "data_centre": "dc",
                "region": "r",
                **self.routers[index],
            },
            "platform": {
                "key_value": {
                    "driver": "gateway",
                    "addresses": [self.key_value],
                },
                "vm_list": {"driver": "http", "address": self.vm_list},
            },
            "fleet_key": "a key for these tests only",
            "operator_key_digests": {"t": core.key_digest("operator")},
            "shutdown": {"address_lifetime_s": 1.0, "deadline_s": 30.0},
        }
        path = self.folder / f"vm-{index}.json"
        path.write_text(json.dumps(settings))
        self.start_process(
            f"vm-{index}",
            [
                sys.executable,
                "-m",
                "bergamotmill.cli.router",
                "--settings",
                str(path),
            ],
        )

    def first_note(self):
        return {
            "title": "first",
            "added": {
                "classes": {"plain": {"deadline_s": 60}},
                "models": {"m": {"version": "v1"}},
                "replicas": {
                    f"engine-{index}": {
                        "address": address,
                        "data_centre": "dc",
                        "models": ["m"],
                    }
                    for index, address in enumerate(self.engines)
                },
                "services": {
                    "registry": {
                        "upstreams": [
                            {
                                "name": "registry-0",
                                "address": self.service,
                                "data_centre": "dc",
                            }
                        ]
                    }
                },
                "customers": {
                    "one": {
                        "key_digests": [core.key_digest("key")],
                        "default_class": "plain",
                    }
                },
            },
        }

    def publish_first_note(self):
        status, _ = self.http(
            self.routers[0]["operators"],
            "/release/publish",
            "operator",
            json.dumps(self.first_note()).encode(),
        )
        # 422: an earlier attempt succeeded, so the names exist already.
        return status in (200, 422)

    def is_ready(self, index):
        return self.http(self.routers[index]["front"], "/ready")[0] == 200

    def routers_see_fleet(self):
        """Returns whether each router knows all engines and routers."""
        for router in self.routers:
            _, value = self.http(
                router["operators"], "/status?fleet=0", "operator"
            )
            models = [replica["models"] for replica in value["replicas"]]
            if len(models) != len(self.engines) or not all(models):
                return False
            if len(value["alive"]) != len(self.routers):
                return False
        return True

    def http(self, address, path, key="key", body=None, headers=()):
        request = urllib.request.Request(f"http://{address}{path}", data=body)
        request.add_header("authorization", f"Bearer {key}")
        for name, value in headers:
            request.add_header(name, value)
        try:
            with urllib.request.urlopen(request, timeout=20) as response:
                return response.status, json.loads(response.read())
        except urllib.error.HTTPError as err:
            return err.code, json.loads(err.read())
        except OSError:
            return 0, {}

    def wait_until(self, condition, description):
        deadline = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(
                    f"timed out on condition {description!r}:\n{self.logs()}"
                )
            time.sleep(0.05)

    def logs(self):
        return "\n".join(
            f"--- {path.name}\n{path.read_text()[-2000:]}"
            for path in sorted(self.folder.glob("*.log"))
        )

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()

    def close(self):
        for name in list(self.processes):
            self.kill(name)
        self._folder.cleanup()
