"""Minimal HTTP client for the control interfaces of the processes."""

import json
import urllib.error
import urllib.request

_opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def request(method, address, path, body=None, timeout=5, headers=None):
    """Sends a request; returns status, headers and body of the response."""
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
        raise RuntimeError(f"GET {address}{path} failed with status {status}: {body[:200]}")
    return json.loads(body)
