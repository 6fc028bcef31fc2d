"""What may have caused the end of a target: part of a prompt, or a whole request.

A suspect is a text that all nodes compute alike: the id of a part, or a mark and the
fingerprint of a request. Ids of parts never hold a colon.
"""

from base64 import urlsafe_b64encode
from collections.abc import Iterable
from hashlib import blake2b

FINGERPRINT_BYTES = 12
_DOMAIN = b"chivespan"
_REQUEST_MARK = "request:"


def request_suspect(fields: Iterable[bytes]) -> str:
    """Return the suspect that stands for all requests with the same fields.

    >>> one = request_suspect([b"POST", b"/a", b"body"])
    >>> len(one), one == request_suspect([b"POST", b"/abo", b"dy"])
    (24, False)
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES, person=_DOMAIN)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return _REQUEST_MARK + urlsafe_b64encode(digest.digest()).decode()


def is_request(suspect: str) -> bool:
    """Return whether a suspect is a whole request.

    >>> is_request(request_suspect([])), is_request("5c1e07a2")
    (True, False)
    """
    return suspect.startswith(_REQUEST_MARK)
