"""Replies of servers that violate HTTP's grammar, and unusual valid ones.

Each reply is sent whole, and its connection ends after it. ``BODY`` is what a
caller may get of a valid one.
"""

import contextlib
import socket
import threading

BODY = b'0123456789' * 4
LENGTH = b'Content-Length: 40'
CHUNKED = b'Transfer-Encoding: chunked'
STATUS_LINE = b'HTTP/1.1 200 OK'
SIGNATURE = b'Burdockmast-Response-Seal: s'
REQUEST_ID = b'Burdockmast-Request-Id: r1'
ONE_CHUNK = b'28\r\n' + BODY + b'\r\n'
LAST_CHUNK = b'0\r\n\r\n'


class RawServer:
    """Sends ``reply`` on each connection, then closes it.

    A thread runs it, as some clients block the thread that calls them.

    :ivar request_count: requests that have come
    """

    def __init__(self):
        self.reply = b''
        self.request_count = 0
        self._sock = socket.create_server(('127.0.0.1', 0))
        self.address = '{}:{}'.format(*self._sock.getsockname())
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._sock.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                self._answer(connection)

    def _answer(self, connection):
        request = b''
        while b'\r\n\r\n' not in request:
            request += connection.recv(4096)
        self.request_count += 1
        connection.sendall(self.reply)

    def close(self):
        """Stop serving."""
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def reply(*lines, status=STATUS_LINE, body=BODY):
    """Return a signed reply with further lines in its head."""
    head = (status, REQUEST_ID, SIGNATURE, *lines)
    return b'\r\n'.join(head) + b'\r\n\r\n' + body


def _with_length(value):
    return reply(b'Content-Length: ' + value)


def _with_status_line(line):
    return reply(LENGTH, status=line)


def _chunked(body, *lines):
    return reply(CHUNKED, *lines, body=body)


INVALID_LENGTHS = {
    'with a plus': _with_length(b'+40'),
    'with a minus': _with_length(b'-40'),
    'minus zero': _with_length(b'-0'),
    'with an underscore': _with_length(b'4_0'),
    'in hex': _with_length(b'0x28'),
    'in words': _with_length(b'forty'),
    'empty': _with_length(b''),
    'with a fraction': _with_length(b'40.0'),
    'with an exponent': _with_length(b'4e1'),
    'with a blank inside': _with_length(b'4 0'),
    'with a control byte': _with_length(b'4\x010'),
    'with a control byte behind it': _with_length(b'40\x0b'),
    'with a superscript': _with_length(b'4\xb2'),
    'with a no-break space': _with_length(b'40\xa0'),
    'with a unit': _with_length(b'40 bytes'),
    'quoted': _with_length(b'"40"'),
    'too large for any body': _with_length(b'9' * 40),
    'with thousands of zeros': _with_length(b'0' * 5000 + b'40'),
    'with thousands of zeros in a list': _with_length(
        b'40,' + b'0' * 5000 + b'40'
    ),
    'twice, unequal': reply(LENGTH, b'Content-Length: 41'),
    'twice, the second unreadable': reply(LENGTH, b'Content-Length: x'),
    'twice, the first unreadable': reply(b'Content-Length: x', LENGTH),
    'a list of unequal ones': _with_length(b'40, 41'),
    'a list with an empty element': _with_length(b'40,'),
}
INVALID_LINES = {
    'no colon, first': reply(b'no field').replace(
        REQUEST_ID + b'\r\n' + SIGNATURE + b'\r\nno field',
        b'no field\r\n' + SIGNATURE,
    ),
    'no colon, before the length': reply(b'no field', LENGTH),
    'no colon, after the length': reply(LENGTH, b'no field'),
    'begins with a colon': reply(b': value', LENGTH),
    'a second status line': reply(b'HTTP/1.1 200 OK', LENGTH),
    'no text': reply(b'\x93\x01\xfe\x00\x80', LENGTH),
    'a lone CR': reply(b'X-A: b\rX-C: d', LENGTH),
    'a CR before the line end': reply(b'X-A: b\r', LENGTH),
    'a lone LF': reply(b'X-A: b\nX-C: d', LENGTH),
    'the length behind a lone LF': reply(b'X-A: b\nContent-Length: 40'),
    'a blank line that is not empty': reply(b' ', LENGTH),
    'a continued length': reply(b'Content-Length: 4\r\n 0'),
    'a continued field': reply(b'X-A: b\r\n c', LENGTH),
    'a length that continues a field': reply(b'X-A: b\r\n Content-Length: 40'),
    'a continuation first': reply(LENGTH).replace(
        REQUEST_ID, b' ' + REQUEST_ID
    ),
    'lone LFs only': reply(LENGTH).replace(b'\r\n', b'\n'),
    'ends with a lone LF': reply(LENGTH, body=b'').replace(
        b'\r\n\r\n', b'\r\n\n' + BODY
    ),
}
INVALID_NAMES = {
    f'{kind} {place}': reply(line, LENGTH)
    for kind, byte in {
        'blank': b' ',
        'tab': b'\t',
        'NUL': b'\0',
        'control byte': b'\x01',
        'vertical tab': b'\x0b',
        'DEL': b'\x7f',
        'byte over 127': b'\xe9',
        'no-break space': b'\xa0',
        'parenthesis': b'(',
        'quote': b'"',
        'slash': b'/',
        'bracket': b'[',
        'at sign': b'@',
    }.items()
    for place, line in {
        'at the end': b'X-Name' + byte + b': value',
        'inside': b'X-' + byte + b'Name: value',
        'at the beginning': byte + b'X-Name: value',
        'at the end of the length': b'Content-Length' + byte + b': 7',
    }.items()
}
INVALID_VALUES = {
    f'{byte!r} {place}': reply(line, LENGTH)
    for byte in (b'\0', b'\x01', b'\x08', b'\x0b', b'\x0c', b'\x1f', b'\x7f')
    for place, line in {
        'in a value': b'X-Name: val' + byte + b'ue',
        'before a value': b'X-Name:' + byte + b'value',
        'behind a value': b'X-Name: value' + byte,
    }.items()
}
INVALID_STATUS_LINES = {
    line.decode('latin-1').encode('unicode_escape').decode(): (
        _with_status_line(line)
    )
    for line in (
        b'HTTP/1.1 000 OK',
        b'HTTP/1.1 000',
        b'HTTP/1.1 00 OK',
        b'HTTP/1.1 0 OK',
        b'HTTP/1.1 099 OK',
        b'HTTP/1.1 20 OK',
        b'HTTP/1.1 2000 OK',
        b'HTTP/1.1 0200 OK',
        b'HTTP/1.1 600 OK',
        b'HTTP/1.1 999 OK',
        b'HTTP/1.1 words OK',
        b'HTTP/1.1 200OK',
        b'HTTP/1.1 +200 OK',
        b'HTTP/1.1 -200 OK',
        b'HTTP/1.1 2_0 OK',
        b'HTTP/1.1 2\xb20 OK',
        b'HTTP/1.1 20.0 OK',
        b'HTTP/1.1  200 OK',
        b'HTTP/1.1\t200 OK',
        b'HTTP/1.1 200\tOK',
        b'HTTP/1.1',
        b'HTTP/1.1 ',
        b' HTTP/1.1 200 OK',
        b'\r\nHTTP/1.1 200 OK',
        b'http/1.1 200 OK',
        b'HTTP/1 200 OK',
        b'HTTP/1.11 200 OK',
        b'HTTP/0.9 200 OK',
        b'HTTP/2.0 200 OK',
        b'HTTP/1.x 200 OK',
        b'HTTPS/1.1 200 OK',
        b'HTTP/1.1 200 O\0K',
        b'HTTP/1.1 200 O\x01K',
        b'HTTP/1.1 200 O\rK',
        b'HTTP/1.1 200 OK\x7f',
    )
}
INVALID_INTERIM_REPLIES = {
    'switched protocols': reply(LENGTH, status=b'HTTP/1.1 101 Switching'),
    'early hints and nothing else': reply(
        status=b'HTTP/1.1 103 Early Hints', body=b''
    ),
    'continue and nothing else': b'HTTP/1.1 100 Continue\r\n\r\n',
    'processing, then no reply': b'HTTP/1.1 102 P\r\n\r\n' + BODY,
    'an invalid name in early hints': (
        b'HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\n' + reply(LENGTH)
    ),
    'an invalid status of 1xx': b'HTTP/1.1 1000 C\r\n\r\n' + reply(LENGTH),
}
INVALID_CODINGS = {
    'unknown': reply(b'Transfer-Encoding: rot13', body=ONE_CHUNK + LAST_CHUNK),
    'compressed chunks': reply(
        b'Transfer-Encoding: gzip, chunked', body=ONE_CHUNK + LAST_CHUNK
    ),
    'identity': reply(b'Transfer-Encoding: identity', LENGTH),
    'chunked twice': reply(CHUNKED, CHUNKED, body=ONE_CHUNK + LAST_CHUNK),
    'chunked with a parameter': reply(
        CHUNKED + b';q=1', body=ONE_CHUNK + LAST_CHUNK
    ),
    'empty': reply(b'Transfer-Encoding:', LENGTH),
    'chunked and a length': reply(CHUNKED, LENGTH, body=ONE_CHUNK),
    'a length and chunked': reply(LENGTH, CHUNKED, body=ONE_CHUNK),
    'misspelt': reply(b'Transfer-Encoding: xchunked', body=ONE_CHUNK),
    'with a control byte': reply(
        b'Transfer-Encoding: \x0bchunked', body=ONE_CHUNK
    ),
    'chunked in HTTP/1.0': reply(
        CHUNKED, status=b'HTTP/1.0 200 OK', body=ONE_CHUNK + LAST_CHUNK
    ),
}
INVALID_CHUNKS = {
    'size with a plus': _chunked(b'+' + ONE_CHUNK + LAST_CHUNK),
    'size with a minus': _chunked(b'-' + ONE_CHUNK + LAST_CHUNK),
    'size with an underscore': _chunked(
        b'2_8\r\n' + BODY + b'\r\n' + LAST_CHUNK
    ),
    'size with 0x': _chunked(b'0x' + ONE_CHUNK + LAST_CHUNK),
    'size with a blank before it': _chunked(b' ' + ONE_CHUNK + LAST_CHUNK),
    'size with a blank inside': _chunked(
        b'2 8\r\n' + BODY + b'\r\n' + LAST_CHUNK
    ),
    'size with a control byte': _chunked(
        b'28\x0b\r\n' + BODY + b'\r\n' + LAST_CHUNK
    ),
    'size in words': _chunked(b'forty\r\n' + BODY + b'\r\n' + LAST_CHUNK),
    'no size': _chunked(b'\r\n' + BODY + b'\r\n' + LAST_CHUNK),
    'extension only': _chunked(b';a\r\n' + BODY + b'\r\n' + LAST_CHUNK),
    'extension without a name': _chunked(
        b'28;=a\r\n' + BODY + b'\r\n' + LAST_CHUNK
    ),
    'extension with a control byte': _chunked(
        b'28;a\0\r\n' + BODY + b'\r\n' + LAST_CHUNK
    ),
    'extension with an open quote': _chunked(
        b'28;a="b\r\n' + BODY + b'\r\n' + LAST_CHUNK
    ),
    'size that ends with a lone LF': _chunked(
        b'28\n' + BODY + b'\r\n' + LAST_CHUNK
    ),
    'size that ends with a lone CR': _chunked(
        b'28\r' + BODY + b'\r\n' + LAST_CHUNK
    ),
    'size too small': _chunked(b'27\r\n' + BODY + b'\r\n' + LAST_CHUNK),
    'size too large': _chunked(b'29\r\n' + BODY + b'\r\n' + LAST_CHUNK),
    'no line end behind the data': _chunked(b'28\r\n' + BODY + LAST_CHUNK),
    'other bytes behind the data': _chunked(
        b'28\r\n' + BODY + b'xx' + LAST_CHUNK
    ),
    'a lone LF behind the data': _chunked(
        b'28\r\n' + BODY + b'\n' + LAST_CHUNK
    ),
    'size larger than memory': _chunked(
        b'f' * 15 + b'\r\n' + BODY + b'\r\n' + LAST_CHUNK
    ),
    'no last chunk': _chunked(ONE_CHUNK),
    'last chunk without its line end': _chunked(ONE_CHUNK + b'0'),
    'half of the end of the last chunk': _chunked(ONE_CHUNK + b'0\r\n'),
    'three quarters of that end': _chunked(ONE_CHUNK + b'0\r\n\r'),
    'last chunk with a sign': _chunked(ONE_CHUNK + b'-0\r\n\r\n'),
    'last chunk that ends with lone LFs': _chunked(ONE_CHUNK + b'0\n\n'),
    'trailer without its end': _chunked(ONE_CHUNK + b'0\r\nX-A: b\r\n'),
    'trailer cut inside': _chunked(ONE_CHUNK + b'0\r\nX-A: b'),
    'trailer without a colon': _chunked(ONE_CHUNK + b'0\r\nno field\r\n\r\n'),
    'trailer with a blank in its name': _chunked(
        ONE_CHUNK + b'0\r\nX A: b\r\n\r\n'
    ),
    'trailer with NUL': _chunked(ONE_CHUNK + b'0\r\nX-A: \0\r\n\r\n'),
    'trailer that ends with a lone LF': _chunked(
        ONE_CHUNK + b'0\r\nX-A: b\n\r\n'
    ),
    'a head instead of chunks': _chunked(reply(LENGTH)),
}
SHORT_BODIES = {
    'shorter than its length': reply(LENGTH, body=BODY[:-1]),
    'nothing of its length': reply(LENGTH, body=b''),
    'shorter by far': _with_length(b'9' * 18),
    'an error shorter than its length': reply(
        LENGTH, status=b'HTTP/1.1 404 Not Found', body=BODY[:-1]
    ),
}
INVALID_ERRORS = {
    'length': reply(b'Content-Length: +40', status=b'HTTP/1.1 404 Not Found'),
    'name': reply(b'X Name: value', LENGTH, status=b'HTTP/1.1 404 Not Found'),
    'line': reply(b'no field', LENGTH, status=b'HTTP/1.1 500 Error'),
}
INVALID = {
    f'{group}: {case}': sent
    for group, replies in {
        'length': INVALID_LENGTHS,
        'line': INVALID_LINES,
        'name': INVALID_NAMES,
        'value': INVALID_VALUES,
        'status line': INVALID_STATUS_LINES,
        'interim reply': INVALID_INTERIM_REPLIES,
        'transfer coding': INVALID_CODINGS,
        'chunks': INVALID_CHUNKS,
        'short body': SHORT_BODIES,
        'error reply': INVALID_ERRORS,
    }.items()
    for case, sent in replies.items()
}

TOKEN = b"!#$%&'*+-.^_`|~0123456789abcxyzABCXYZ"
VALID = {
    'a length': reply(LENGTH),
    'blanks around a length': _with_length(b' \t 40 \t '),
    'no blank behind the colon': reply(b'Content-Length:40'),
    'leading zeros': _with_length(b'0000000000000000000000000040'),
    'the same length twice': reply(LENGTH, LENGTH),
    'a list of equal lengths': _with_length(b'40 , 40'),
    'other cases of a name': reply(b'cONTENT-lENGTH: 40'),
    'bytes behind the body': reply(LENGTH, body=BODY + b'HTTP/1.1 500 x'),
    'an empty value': reply(b'X-Empty:', LENGTH),
    'a value of blanks': reply(b'X-Empty: \t ', LENGTH),
    'every byte of a token': reply(TOKEN + b': value', LENGTH),
    'bytes over 127 in a value': reply(
        b'X-Name: ' + bytes(range(0x80, 0x100)), LENGTH
    ),
    'tabs in a value': reply(b'X-Name: a\tb\t\tc', LENGTH),
    'every visible byte': reply(
        b'X-Name: ' + bytes(range(0x20, 0x7F)), LENGTH
    ),
    'a field twice': reply(b'X-A: 1', b'X-A: 2', LENGTH),
    'no reason phrase': reply(LENGTH, status=b'HTTP/1.1 200 '),
    'no blank behind the status': reply(LENGTH, status=b'HTTP/1.1 200'),
    'an odd reason phrase': reply(
        LENGTH, status=b'HTTP/1.1 200  \tO: K\xe9 200'
    ),
    'HTTP/1.0': reply(LENGTH, status=b'HTTP/1.0 200 OK'),
    'a later minor version': reply(LENGTH, status=b'HTTP/1.7 200 OK'),
    'an unknown success': reply(LENGTH, status=b'HTTP/1.1 299 Fine'),
    'a body that ends with its connection': reply(),
    'an unframed one of HTTP/1.0': reply(status=b'HTTP/1.0 200 OK'),
    'early hints': (
        b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' + reply(LENGTH)
    ),
    'several interim replies': (
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 P\r\n\r\n'
        b'HTTP/1.1 199 \r\nX-A: b\r\n\r\n' + reply(LENGTH)
    ),
    'a chunk': _chunked(ONE_CHUNK + LAST_CHUNK),
    'chunked in other cases': reply(
        b'transfer-encoding:  CHUNked ', body=ONE_CHUNK + LAST_CHUNK
    ),
    'several chunks': _chunked(
        b'0a\r\n' + BODY[:10] + b'\r\n1E\r\n' + BODY[10:] + b'\r\n000\r\n\r\n'
    ),
    'leading zeros of a size': _chunked(b'0' * 30 + ONE_CHUNK + LAST_CHUNK),
    'thousands of leading zeros of a size': _chunked(
        b'0' * 5000 + ONE_CHUNK + LAST_CHUNK
    ),
    'extensions': _chunked(
        b'28;a;b=c ; d="e;\\"f" ;g = h\r\n' + BODY + b'\r\n0;last\r\n\r\n'
    ),
    'trailers': _chunked(
        ONE_CHUNK + b'0\r\nX-A: b\r\nx-c:\r\nContent-Length: 7\r\n\r\n',
        b'Trailer: X-A',
    ),
}
