"""The two example deployments as the site benchmark runs them."""

import os
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import httpcore
import msgspec

from bench.sitedispatch import launch_arguments
from chivespan.callerapi import AddressAnswer, BatchJob, BatchModelItem
from chivespan.placement import ranked
from chivespan.policies import Policies
from tools.cluster import Cluster, Process, Site, wait_until
from tools.exampleconfig import EXAMPLES, write_example

ACCEPTED_STATUS = 202
OK_STATUS = 200


@dataclass(frozen=True)
class SiteDeployment:
    """Parameters of one example deployment.

    :param online_keys: API keys of the owners of online requests, used round-robin.
    :param rate: online requests per second outside bursts.
    """

    name: str
    example: str
    region: str
    data_centres: tuple[str, ...]
    model: str
    operator: str
    operator_key: str
    online_keys: tuple[str, ...]
    batch_key: str
    engines: int
    plains: int
    slots: int
    rate: float


DEPLOYMENTS = {
    "osijek": SiteDeployment(
        name="osijek",
        example="livestock",
        region="hr-east",
        data_centres=("hr-east-osijek", "hr-east-vukovar", "hr-east-slavonski"),
        model="booking-lm",
        operator="ana",
        operator_key="demo-operator-ana",
        online_keys=("demo-owner-baranja", "demo-owner-slavonia"),
        batch_key="demo-owner-baranja",
        engines=6,
        plains=3,
        slots=8,
        rate=16,
    ),
    "darkmoor": SiteDeployment(
        name="darkmoor",
        example="skywatch",
        region="scot-north",
        data_centres=("scot-north-a", "scot-north-b", "scot-north-c"),
        model="glowtext",
        operator="morag",
        operator_key="demo-operator-morag",
        online_keys=("demo-owner-rangers",),
        batch_key="demo-owner-astronomers",
        engines=9,
        plains=0,
        slots=6,
        rate=12,
    ),
}


def site_of(deployment: SiteDeployment, block: str, vms_per_centre: int) -> Site:
    """Return the site to start."""
    return Site(
        data_centres=deployment.data_centres * vms_per_centre,
        region=deployment.region,
        block=block,
        engines=deployment.engines,
        plains=deployment.plains,
        engine_flags={"slots": str(deployment.slots)},
    )


class DeployedSite:
    """A running cluster with a deployment's configuration."""

    def __init__(self, cluster: Cluster, deployment: SiteDeployment) -> None:
        self._cluster = cluster
        self._deployment = deployment

    @property
    def cluster(self) -> Cluster:
        """The cluster that runs the site's processes."""
        return self._cluster

    @property
    def deployment(self) -> SiteDeployment:
        """The deployment's parameters."""
        return self._deployment

    @property
    def entries(self) -> list[str]:
        """Addresses of all VMs' entries."""
        return [f"{place.vm}:8080" for place in self._cluster.site.vms]

    def apply(self, folder: Path) -> None:
        """Apply the example's configuration and wait until every VM has it."""
        example = EXAMPLES / self._deployment.example
        self.apply_files(list(write_example(example, self._cluster.site, folder)))
        for _ in wait_until("the configuration on every VM"):
            if all(self._is_ready(address) for address in self.entries):
                return

    def apply_files(self, files: Sequence[Path]) -> None:
        """Apply configuration files with the operator program."""
        deployment = self._deployment
        site = self._cluster.site
        environment = {
            **os.environ,
            "CHIVESPAN_LOG_URL": site.log_url,
            "CHIVESPAN_OPERATOR": deployment.operator,
            "CHIVESPAN_OPERATOR_KEY": deployment.operator_key,
        }
        command = [sys.executable, "-m", "chivespan.operator_main", "apply"]
        command += [*map(str, files), "--reason=bench"]
        subprocess.run(command, env=environment, check=True, stdout=subprocess.DEVNULL)

    def use_policies(self, policies: Policies) -> None:
        """Restart every dispatcher with these policies and wait for granted slots."""
        places = self._cluster.site.vms
        for place in places:
            self._dispatcher(place.vm).kill()
        for place in places:
            self._cluster.start_program(place, "dispatch", launch_arguments(policies))
        self._cluster.wait_ready()
        for address in self.entries:
            for _ in wait_until(f"slots at {address}"):
                if self._answers_completions(address):
                    break

    def kill_dispatcher(self) -> str:
        """Kill the owner of the first data centre's slice and return its VM."""
        deployment = self._deployment
        first = deployment.data_centres[0]
        places = self._cluster.site.vms
        vms = [place.vm for place in places if place.data_centre == first]
        vm = ranked(f"{deployment.model}/{first}/0", vms)[0]
        self._dispatcher(vm).kill()
        return vm

    def submit(self, items: int, max_tokens: int) -> str:
        """Submit a batch job and return its id."""
        body = b"".join(
            msgspec.json.encode(
                BatchModelItem(
                    id=f"item-{number}", prompt=f"Plan {number}", max_tokens=max_tokens
                )
            )
            + b"\n"
            for number in range(items)
        )
        path = f"/v1/batches?service={self._deployment.model}"
        answer = self._request("POST", path, self._deployment.batch_key, body)
        if answer.status != ACCEPTED_STATUS:
            raise RuntimeError(answer.content.decode())
        return msgspec.json.decode(answer.content, type=BatchJob).id

    def _dispatcher(self, vm: str) -> Process:
        return self._cluster.process(f"{vm}/dispatch")

    def _is_ready(self, address: str) -> bool:
        key = self._deployment.online_keys[0]
        answer = self._request("GET", "/v1/addresses", key, address=address)
        if answer.status != OK_STATUS:
            return False
        known = msgspec.json.decode(answer.content, type=AddressAnswer).addresses
        return len(known) >= len(self._deployment.data_centres)

    def _answers_completions(self, address: str) -> bool:
        body = {"model": self._deployment.model, "prompt": "Ready?", "max_tokens": 1}
        answer = self._request(
            "POST",
            "/v1/completions",
            self._deployment.online_keys[0],
            msgspec.json.encode(body),
            address,
        )
        if answer.status != OK_STATUS:
            time.sleep(0.05)
        return answer.status == OK_STATUS

    def _request(
        self, method: str, path: str, key: str, body: bytes = b"", address: str = ""
    ) -> httpcore.Response:
        headers = [("authorization", f"Bearer {key}")]
        url = f"http://{address or self.entries[0]}{path}"
        return httpcore.request(method, url, headers=headers, content=body)
