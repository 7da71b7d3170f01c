"""Identifiers used across parts."""

import secrets
from typing import NewType

# One process of the system, unique for each start of it.
InstanceId = NewType('InstanceId', str)
# One slot beside a backend server; a replacement keeps the slot's id.
ServerId = NewType('ServerId', str)
# One caller's request; also names the answer to it.
RequestId = NewType('RequestId', str)
OrganisationId = NewType('OrganisationId', str)
ZoneId = NewType('ZoneId', str)
ModelId = NewType('ModelId', str)
ServiceId = NewType('ServiceId', str)
PresetId = NewType('PresetId', str)
# Backend servers that stand in for each other.
PoolId = NewType('PoolId', str)
# "IP:port" of a process of the system.
Address = NewType('Address', str)
# An instance as the platform's list names it.
PlatformInstance = NewType('PlatformInstance', str)
# Number of accepted configuration changes; only ever grows.
Version = NewType('Version', int)
# Identity of a change, so that its writer knows it again.
ChangeId = NewType('ChangeId', str)
# Hash of a request's content; equal content has an equal fingerprint.
Fingerprint = NewType('Fingerprint', str)

ID_BYTES = 8


def new_id() -> str:
    """Return a random id of 16 hexadecimal digits."""
    return secrets.token_hex(ID_BYTES)
