"""Text that an engine stand-in generates, determined by prompt and token limit.

Tests can therefore compute the expected text of every request.
"""

import re

import xxhash

_STOP_AFTER = re.compile(r"stop after (\d+)")


def token(prompt: str, index: int) -> str:
    """Return token ``index`` of the completion of ``prompt``.

    >>> token("cattle", 0) == token("cattle", 0) != token("cattle", 1)
    True
    """
    return " " + xxhash.xxh32_hexdigest(f"{prompt}\0{index}".encode())[:6]


def token_count(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens of the complete text.

    >>> token_count("two words, stop after 2", 10), token_count("two words", 10)
    (2, 10)
    """
    found = _STOP_AFTER.search(prompt)
    return min(int(found[1]), max_tokens) if found else max_tokens


def finish_reason(prompt: str, max_tokens: int) -> str:
    """Return the reason why the text ends: ``stop`` or ``length``."""
    return "stop" if token_count(prompt, max_tokens) < max_tokens else "length"


def full_text(prompt: str, max_tokens: int) -> str:
    """Return the complete text generated for ``prompt``."""
    return "".join(token(prompt, i) for i in range(token_count(prompt, max_tokens)))
