"""Stand-in for the weight store, which limits the rate of loads."""

import time
from dataclasses import dataclass

import anyio
import fire
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.serving import json_response, parse_options, serve_until_stopped


@dataclass(frozen=True)
class WeightOptions:
    """Command line options of the weight store.

    :param loads_per_s: maximum rate at which loads start; excess requests get 429.
    :param load_ms: duration of one load.
    """

    loads_per_s: float = 1
    load_ms: float = 200


class WeightStandIn:
    """Serves the weights of models at a limited rate.

    :ivar served: number of loads that were started.
    :ivar rejected: number of requests rejected with 429.
    """

    def __init__(self, options: WeightOptions | None = None) -> None:
        self.options = options or WeightOptions()
        self.served = 0
        self.rejected = 0
        self.app = Starlette(
            routes=[
                Route("/weights/{model}/{version}", self._get),
                Route("/counts", self._counts),
            ]
        )
        self._free_at = 0.0

    async def run(self) -> None:
        """Return at once; there is no background work."""

    async def _get(self, request: Request) -> Response:
        now = time.monotonic()
        if now < self._free_at:
            self.rejected += 1
            wait = {"Retry-After": f"{self._free_at - now:.3f}"}
            return Response(b"", 429, wait)
        self._free_at = now + 1 / self.options.loads_per_s
        self.served += 1
        await anyio.sleep(self.options.load_ms / 1000)
        return Response(b"weights", media_type="application/octet-stream")

    async def _counts(self, request: Request) -> Response:
        return json_response({"served": self.served, "turned_away": self.rejected})


def main(address: str, **flags: object) -> None:
    """Serve the weight store at ``address``."""
    store = WeightStandIn(parse_options(WeightOptions, flags))
    serve_until_stopped([(address, store)])


if __name__ == "__main__":
    fire.Fire(main)
