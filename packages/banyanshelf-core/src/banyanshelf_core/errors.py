"""Exceptions of banyanshelf; each message says how to correct the problem."""


class BanyanshelfError(Exception):
    """Base class of the exceptions that banyanshelf raises."""


class TextError(BanyanshelfError):
    """The operators' configuration text is invalid.

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


class RequestMemoryError(BanyanshelfError):
    """The memory for requests is used up, so that a request has to be refused."""


class StoreError(BanyanshelfError):
    """Base class of failures of the configuration store."""


class StoreUnavailableError(StoreError):
    """The store did not answer; it is unknown whether a write has taken effect."""


class StoreBudgetError(StoreError):
    """This process has used up its budget of store calls; try again later."""


class StoreRecordError(StoreError):
    """A store record cannot be read or fails its digest check."""


class RetryAfterError(BanyanshelfError):
    """An upstream states a time to wait that cannot be read."""


class RequestLimitError(BanyanshelfError):
    """A request limit in an upstream's answer cannot be read; it is ignored."""


class CodecError(BanyanshelfError):
    """A peer message cannot be decoded; the link is closed."""


class UpstreamError(BanyanshelfError):
    """Base class of failures of one attempt at an upstream."""


class UpstreamRefusedError(UpstreamError):
    """The connection was refused or shed, so the request was not run."""


class UpstreamCutError(UpstreamError):
    """The connection was cut after part of the request had been sent."""


class UpstreamAnswerError(UpstreamError):
    """The upstream sent an invalid answer, or one whose end cannot be determined."""


class UpstreamTimeoutError(UpstreamError):
    """The upstream did not answer within the call's remaining time."""
