"""Small HTTP client for control addresses."""

import json
import urllib.error
import urllib.request

_opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def request(method, address, path, body=None, timeout=5, headers=None):
    """Status, headers and body of one request."""
    data = body.encode() if isinstance(body, str) else body
    message = urllib.request.Request(f"http://{address}{path}", data=data, method=method,
                                     headers=headers or {})
    try:
        with _opener.open(message, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as failure:
        return failure.code, dict(failure.headers), failure.read().decode()


def get_json(address, path, timeout=5):
    status, _, body = request("GET", address, path, timeout=timeout)
    if status != 200:
        raise RuntimeError(f"GET {address}{path}: {status} {body[:200]}")
    return json.loads(body)
