"""A caller that records its requests and responses for the oracle."""

import json
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field

import anyio
import httpcore
import msgspec

from tests.oracle import CallAnswer, GeneratedAnswer

MODEL = "m"
REQUEST_TIMEOUT_S = 20.0


@dataclass
class Caller:
    """Sends requests with an owner's key to one entry.

    :param address: the entry's IP number and port.
    """

    address: str
    key: str = "owner-key"
    model: str = MODEL
    on_token: anyio.Event = field(default_factory=anyio.Event)

    async def stream(
        self, prompt: str, max_tokens: int, *, across_shutdown: bool = False
    ) -> GeneratedAnswer:
        """Request a streamed completion."""
        body = {"model": self.model, "prompt": prompt, "max_tokens": max_tokens}
        texts: list[str] = []
        ended, code, was_run = "cut", "", ""
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                async for event in self._events(body | {"stream": True}):
                    if event == "[DONE]":
                        ended = "done"
                        continue
                    parsed = json.loads(event)
                    if "error" in parsed:
                        ended = "error"
                        code = parsed["error"]["code"]
                        was_run = parsed["error"]["was_run"]
                    else:
                        texts.append(parsed["choices"][0]["text"])
                        self.on_token.set()
        except (httpcore.NetworkError, httpcore.ProtocolError):
            pass
        text = "".join(texts)
        return GeneratedAnswer(
            prompt, max_tokens, text, ended, code, was_run, across_shutdown
        )

    async def complete(self, prompt: str, max_tokens: int) -> GeneratedAnswer:
        """Request a completion as a single response."""
        body = {"model": self.model, "prompt": prompt, "max_tokens": max_tokens}
        response = await self.send("POST", "/v1/completions", body)
        if response is None:
            return GeneratedAnswer(prompt, max_tokens, "", "cut")
        parsed = json.loads(response.content)
        if response.status == 200:
            text = parsed["choices"][0]["text"]
            return GeneratedAnswer(prompt, max_tokens, text, "done")
        error = parsed["error"]
        return GeneratedAnswer(
            prompt, max_tokens, "", "error", error["code"], error["was_run"]
        )

    async def call(
        self,
        method: str,
        path: str,
        body: str,
        headers: Mapping[str, str] | None = None,
    ) -> CallAnswer:
        """Call a plain service; the body of a GET is only recorded, not sent."""
        content = body.encode() if method != "GET" else b""
        response = await self.send(method, path, content, headers)
        if response is None:
            return CallAnswer(body, path, 0, "lost", "unknown")
        code, was_run = "", ""
        if response.status >= 400:
            error = json.loads(response.content)["error"]
            code, was_run = error["code"], error.get("was_run", "unknown")
        return CallAnswer(body, path, response.status, code, was_run, response.content)

    async def send(
        self,
        method: str,
        path: str,
        body: object = b"",
        headers: Mapping[str, str] | None = None,
    ) -> httpcore.Response | None:
        """Send one request on its own connection; return None without a response."""
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        request_headers = [*self._headers(), *(headers or {}).items()]
        url = f"http://{self.address}{path}"
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    return await pool.request(
                        method, url, headers=request_headers, content=content
                    )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None

    async def _events(self, body: object) -> AsyncIterator[str]:
        headers = self._headers()
        url = f"http://{self.address}/v1/completions"
        content = msgspec.json.encode(body)
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream("POST", url, headers=headers, content=content) as response,
        ):
            rest = b""
            async for chunk in response.aiter_stream():
                *lines, rest = (rest + chunk).split(b"\n")
                for line in lines:
                    if line.startswith(b"data: "):
                        yield line[6:].decode()
            if rest:
                yield rest.decode()

    def _headers(self) -> list[tuple[bytes | str, bytes | str]]:
        return [("authorization", f"Bearer {self.key}")]
