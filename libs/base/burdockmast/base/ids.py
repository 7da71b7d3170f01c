"""Types of the identifiers that several packages use."""

import secrets
from typing import NewType

# A process of the system; each start of it has a new id.
InstanceId = NewType('InstanceId', str)
# The slot of a backend server: a replacement server keeps the id.
ServerId = NewType('ServerId', str)
# A caller's request, and the answer to it.
RequestId = NewType('RequestId', str)
# An event of a stream, as its server wrote it.
EventId = NewType('EventId', str)
OrganisationId = NewType('OrganisationId', str)
ZoneId = NewType('ZoneId', str)
ModelId = NewType('ModelId', str)
ServiceId = NewType('ServiceId', str)
PresetId = NewType('PresetId', str)
# A pool of interchangeable backend servers.
PoolId = NewType('PoolId', str)
# "IP:port" at which a process of the system listens.
Address = NewType('Address', str)
# An instance, by its id in the platform's instance list.
PlatformInstance = NewType('PlatformInstance', str)
# Version of the configuration: the number of accepted changes, which never
# decreases.
Version = NewType('Version', int)
# A configuration change, by which its writer recognises it in the journal.
ChangeId = NewType('ChangeId', str)
# Hash of a request's content.
Fingerprint = NewType('Fingerprint', str)

ID_BYTES = 8


def new_id() -> str:
    """Return a random id of 16 hexadecimal digits."""
    return secrets.token_hex(ID_BYTES)
