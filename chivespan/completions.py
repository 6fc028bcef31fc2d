"""Conversion between OpenAI-style bodies and prompts and tokens."""

from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from chivespan.callerapi import (
    ChatAnswer,
    ChatChoice,
    ChatChunk,
    ChatChunkChoice,
    ChatDelta,
    ChatMessage,
    CompletionAnswer,
    CompletionChoice,
    TokenUsage,
)
from chivespan.clock import Clock
from chivespan.engineclient import Token

PREFIX_CHARACTERS = 256
ASSISTANT = "assistant"
END_EVENT = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class CompletionMetadata:
    """Fields shared by the response and all events of one request."""

    request_id: str
    model: str
    chat: bool
    created: int

    @classmethod
    def now(
        cls, clock: Clock, request_id: str, model: str, *, chat: bool
    ) -> "CompletionMetadata":
        """Return the metadata of a response created now."""
        return cls(request_id, model, chat, int(clock.now().timestamp()))


def chat_prompt(messages: Iterable[ChatMessage]) -> str:
    """Return the prompt of a chat, with one line per message.

    >>> chat_prompt([ChatMessage(role="user", content="Is pickup 7 confirmed?")])
    'user: Is pickup 7 confirmed?\\nassistant:'
    """
    lines = [f"{message.role}: {message.content}" for message in messages]
    return "\n".join([*lines, f"{ASSISTANT}:"])


def prefix_hash(prompt: str) -> int:
    """Return the hash of a prompt's prefix, used to find targets that cached it."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode()) >> 1


def build_answer(
    metadata: CompletionMetadata, tokens: list[Token]
) -> CompletionAnswer | ChatAnswer:
    """Return the response body for a complete list of tokens."""
    text = "".join(token.text for token in tokens)
    last = tokens[-1]
    usage = _usage(last, len(tokens))
    if metadata.chat:
        message = ChatDelta(role=ASSISTANT, content=text)
        return ChatAnswer(
            id=metadata.request_id,
            object="chat.completion",
            created=metadata.created,
            model=metadata.model,
            choices=[
                ChatChoice(index=0, message=message, finish_reason=last.finish_reason)
            ],
            usage=usage,
        )
    return _completion(metadata, text, last.finish_reason, usage)


async def encode_events(
    metadata: CompletionMetadata, tokens: AsyncIterator[Token]
) -> AsyncIterator[bytes]:
    """Yield one server-sent event per token, then the end-of-stream event."""
    async for token in tokens:
        yield encode_event(build_chunk(metadata, token))
    yield END_EVENT


def encode_event(body: object) -> bytes:
    """Encode a body as a server-sent event."""
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def build_chunk(
    metadata: CompletionMetadata, token: Token
) -> CompletionAnswer | ChatChunk:
    """Return the body of the event of one token."""
    if metadata.chat:
        delta = ChatDelta(role=ASSISTANT, content=token.text)
        return ChatChunk(
            id=metadata.request_id,
            object="chat.completion.chunk",
            created=metadata.created,
            model=metadata.model,
            choices=[
                ChatChunkChoice(index=0, delta=delta, finish_reason=token.finish_reason)
            ],
        )
    return _completion(metadata, token.text, token.finish_reason)


def _completion(
    metadata: CompletionMetadata,
    text: str,
    finish_reason: str | None,
    usage: TokenUsage | None = None,
) -> CompletionAnswer:
    choice = CompletionChoice(index=0, text=text, finish_reason=finish_reason)
    return CompletionAnswer(
        id=metadata.request_id,
        object="text_completion",
        created=metadata.created,
        model=metadata.model,
        choices=[choice],
        usage=usage,
    )


def _usage(last: Token, tokens: int) -> TokenUsage:
    prompt_tokens = last.usage.prompt_tokens if last.usage else 0
    return TokenUsage(
        prompt_tokens=prompt_tokens,
        completion_tokens=tokens,
        total_tokens=prompt_tokens + tokens,
    )
