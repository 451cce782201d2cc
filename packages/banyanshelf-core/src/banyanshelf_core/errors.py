"""Typed errors of banyanshelf; every message says what to do next."""


class BanyanshelfError(Exception):
    """Base class of all errors that banyanshelf raises on purpose."""


class TextError(BanyanshelfError):
    """An operators' text that cannot be accepted.

    ``where`` names the line or the key, ``problem`` says what is wrong, and ``remedy``
    says what to write instead.
    """

    def __init__(self, where: str, problem: str, remedy: str) -> None:
        super().__init__(f"{where}: {problem}; {remedy}")
        self.where = where
        self.problem = problem
        self.remedy = remedy


class SettingsError(BanyanshelfError):
    """A flag or environment variable with an unknown name or an unusable value."""


class RequestError(BanyanshelfError):
    """A caller's request that is refused before it reaches an upstream."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class StoreError(BanyanshelfError):
    """Base class of failures of the configuration store."""


class StoreUnavailableError(StoreError):
    """The store did not answer; a write may or may not have taken effect."""


class StoreBudgetError(StoreError):
    """This process has used its share of store calls; try again later."""


class StoreRecordError(StoreError):
    """A record of the store that cannot be read or fails its digest check."""


class CodecError(BanyanshelfError):
    """A peer message that cannot be decoded; the link is closed."""


class UpstreamError(BanyanshelfError):
    """Base class of failures of one attempt at an upstream."""


class UpstreamRefusedError(UpstreamError):
    """The connection was refused or shed, so the request was not run."""


class UpstreamCutError(UpstreamError):
    """The connection was cut after bytes of the request had left."""


class UpstreamAnswerError(UpstreamError):
    """The upstream sent bytes that are no answer, or one without a certain end."""


class UpstreamTimeoutError(UpstreamError):
    """The upstream did not answer within the call's remaining time."""
