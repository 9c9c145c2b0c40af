"""Documents in the store, which are identified by their digest."""

import hashlib

import attrs

from rosemarynotch._internal.exceptions import DOCUMENT_MALFORMED
from rosemarynotch._internal.exceptions import Failure
from rosemarynotch._internal.models import codec
from rosemarynotch._internal.models.document import Document
from rosemarynotch._internal.models.messages import DocumentAnswer
from rosemarynotch._internal.models.records import ConfigPointer
from rosemarynotch._internal.reference.interface import Store

__all__ = [
    "decode_document",
    "document_digest",
    "document_key",
    "DOCUMENTS_PREFIX",
    "read_document",
    "StoredDocument",
    "unpack_answer",
]

DOCUMENTS_PREFIX = "config/documents/"


@attrs.frozen(kw_only=True)
class StoredDocument:
    """A document and its encoded form, from which the digest is computed."""

    document: Document
    encoded: bytes = attrs.field(repr=False)


def document_digest(encoded: bytes) -> str:
    """Return the SHA-256 digest (hexadecimal) of an encoded document."""
    return hashlib.sha256(encoded).hexdigest()


def document_key(digest: str) -> str:
    """Return the store key of a document."""
    return DOCUMENTS_PREFIX + digest


def decode_document(encoded: bytes, digest: str) -> StoredDocument | Failure:
    """Verify the digest of a document and decode it.

    :returns: the document, DOCUMENT_MALFORMED if the digest of the bytes
        differs from ``digest``, or RECORD_MALFORMED
    """
    if document_digest(encoded) != digest:
        return DOCUMENT_MALFORMED.with_reason(
            f"content of document {digest} does not match its digest"
        )
    document = codec.decode(encoded, Document)
    if isinstance(document, Failure):
        return document
    return StoredDocument(document=document, encoded=encoded)


def read_document(store: Store, digest: str) -> StoredDocument | Failure:
    """Read a document from the store and verify its digest.

    :returns: the document, or the failure of the store or of decoding
    """
    found = store.get(document_key(digest))
    if isinstance(found, Failure):
        return found
    return decode_document(found.value, digest)


def unpack_answer(
    answer: DocumentAnswer,
) -> tuple[ConfigPointer, StoredDocument] | Failure:
    """Verify and decode a configuration received from a peer.

    :returns: pointer and document, DOCUMENT_MALFORMED or RECORD_MALFORMED
    """
    pointer = codec.decode(answer.pointer, ConfigPointer)
    if isinstance(pointer, Failure):
        return pointer
    stored = decode_document(answer.document, pointer.current.digest)
    if isinstance(stored, Failure):
        return stored
    return pointer, stored
