"""Stand-ins and cases of the independent review.

All run on asyncio; the reactor of the project's stand-ins has to be installed before
any of their modules is imported.
"""

import asyncio

from twisted.internet import asyncioreactor

loop = asyncio.new_event_loop()
asyncio.set_event_loop(loop)
asyncioreactor.install(loop)
