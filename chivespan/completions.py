"""OpenAI-style bodies: prompts out of requests, answers and events out of tokens."""

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
    """What every answer and event of one request starts with."""

    request_id: str
    model: str
    chat: bool
    created: int

    @classmethod
    def now(
        cls, clock: Clock, request_id: str, model: str, *, chat: bool
    ) -> "CompletionMetadata":
        """Return the head of an answer created now."""
        return cls(request_id, model, chat, int(clock.now().timestamp()))


def chat_prompt(messages: Iterable[ChatMessage]) -> str:
    """Return the prompt of a chat.

    >>> chat_prompt([ChatMessage(role="user", content="Is pickup 7 confirmed?")])
    'user: Is pickup 7 confirmed?\\nassistant:'
    """
    lines = [f"{message.role}: {message.content}" for message in messages]
    return "\n".join([*lines, f"{ASSISTANT}:"])


def prefix_hash(prompt: str) -> int:
    """Return the hash of a prompt's head, by which cached prefixes are found."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode()) >> 1


def build_answer(
    head: CompletionMetadata, tokens: list[Token]
) -> CompletionAnswer | ChatAnswer:
    """Return the whole answer that the tokens make up."""
    text = "".join(token.text for token in tokens)
    last = tokens[-1]
    usage = _usage(last, len(tokens))
    if head.chat:
        message = ChatDelta(role=ASSISTANT, content=text)
        return ChatAnswer(
            id=head.request_id,
            object="chat.completion",
            created=head.created,
            model=head.model,
            choices=[
                ChatChoice(index=0, message=message, finish_reason=last.finish_reason)
            ],
            usage=usage,
        )
    return _completion(head, text, last.finish_reason, usage)


async def encode_events(
    head: CompletionMetadata, tokens: AsyncIterator[Token]
) -> AsyncIterator[bytes]:
    """Yield one server-sent event for each token, then the end mark."""
    async for token in tokens:
        yield encode_event(build_chunk(head, token))
    yield END_EVENT


def encode_event(body: object) -> bytes:
    """Return one server-sent event with a typed body."""
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def build_chunk(head: CompletionMetadata, token: Token) -> CompletionAnswer | ChatChunk:
    """Return the body of the event for one token."""
    if head.chat:
        delta = ChatDelta(role=ASSISTANT, content=token.text)
        return ChatChunk(
            id=head.request_id,
            object="chat.completion.chunk",
            created=head.created,
            model=head.model,
            choices=[
                ChatChunkChoice(index=0, delta=delta, finish_reason=token.finish_reason)
            ],
        )
    return _completion(head, token.text, token.finish_reason)


def _completion(
    head: CompletionMetadata,
    text: str,
    finish_reason: str | None,
    usage: TokenUsage | None = None,
) -> CompletionAnswer:
    choice = CompletionChoice(index=0, text=text, finish_reason=finish_reason)
    return CompletionAnswer(
        id=head.request_id,
        object="text_completion",
        created=head.created,
        model=head.model,
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
