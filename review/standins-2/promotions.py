"""The platform's call `POST /promote`; it does not check the fence."""

import asyncio
import json
import time

import http_service

USUAL_ANSWER_S = 0.016


class Promotions:
    """Record each order, carry it out, and answer.

    An order is seen and carried out when it arrives; ``answer_s`` is how
    long the answer takes.
    """

    def __init__(self, groups, promote_s=0.3):
        self._groups = groups
        self._promote_s = promote_s
        self.answer_s = USUAL_ANSWER_S
        self.orders = []
        self.service = http_service.HttpService(self._handle)

    async def _handle(self, method, path, args, headers, body):
        if (method, path) != ('POST', '/promote'):
            return 404, {}
        order = json.loads(body)
        group = self._groups.get(order.get('service'))
        instance = group and group.instances.get(order.get('id'))
        status = 200 if instance is not None and instance.reachable else 409
        self.orders.append(
            {
                'at': time.monotonic(),
                'service': order.get('service'),
                'id': order.get('id'),
                'holder': headers.get('lease-holder', ''),
                'token': int(headers.get('fencing-token', '0')),
                'status': status,
            }
        )
        if status == 200:
            asyncio.get_running_loop().call_later(
                self._promote_s, group.promote, instance.name
            )
        await asyncio.sleep(self.answer_s)
        return status, {}
