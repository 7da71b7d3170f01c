"""Connections to the stand-in of the platform's store in a test's process."""

import io

import urllib3


class Connections:
    """Calls the stand-in without a network.

    :ivar headers: of all answers, in place of the stand-in's
    """

    def __init__(self, metadata):
        self._metadata = metadata
        self.headers = {}

    def request(self, method, url, body=b'', **options):
        path, _, query = url.removeprefix('http://store').partition('?')
        found = []
        data = self._metadata(
            {
                'REQUEST_METHOD': method,
                'PATH_INFO': path,
                'QUERY_STRING': query,
                'wsgi.input': io.BytesIO(body),
            },
            lambda status, headers: found.extend((status, headers)),
        )
        return urllib3.HTTPResponse(
            body=b''.join(data),
            headers={**dict(found[1]), **self.headers},
            status=int(found[0].split()[0]),
        )
